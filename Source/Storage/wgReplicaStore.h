// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>

#include "wgFileOperations.h"
#include "wgOutcome.h"
#include "wgReplica.h"
#include "wgSocket.h"

namespace wg {

/** \brief State of a data folder when the process opened it. */
enum class FolderState
{
  Fresh,  // no replica files: a new identity was created
  Valid,  // all files valid: the stored replica was loaded
  Damaged // files renamed to `*.damaged`: a new identity was created
};

/** \class ReplicaStore
 * \brief Stores the durable state of one replica in its data folder.
 *
 * The folder holds these files:
 *  - `log`: entries, truncations and hard states in the order of writing
 *  - `snapshot`: the newest snapshot; the log starts at or before its index
 *  - `identity`: the replica's number and cluster
 *  - `synced`: generation and length in bytes of the log at its last syncs,
 *    see wgSyncedMark.h
 *  - `lock`: locked by the process that uses the folder
 */
class ReplicaStore
{
public:
  /** \brief Opens the data folder and loads the durable state of a replica.
   *
   * Renames the files of a damaged folder and continues with a new identity.
   * \param files used for writes and syncs, must outlive the store
   * \param folder path of the data folder, created if missing
   * \param newIdentity replica number to use if the folder is fresh or damaged
   * \param replica receives the number, cluster, hard state, snapshot and log
   * \return the store, or an error if the folder can't be locked, read or
   * written; its files are left as they are then
   */
  static Outcome<std::unique_ptr<ReplicaStore>> Open(FileOperations& files,
                                                     const std::string& folder,
                                                     std::uint64_t newIdentity,
                                                     Replica& replica);

  /** \brief Returns the state of the folder when it was opened. */
  FolderState State() const { return state_; }
  /** \brief Returns why the folder was found damaged; empty if it was not. */
  const std::string& Damage() const { return damage_; }

  /** \brief Writes and syncs the replica's number and cluster. */
  Outcome<Done> SaveIdentity(const Replica& replica);

  /** \brief Writes and syncs the log records or snapshot of the actions.
   *
   * After an error none of the actions count as stored, and the call may be
   * repeated. If the log could not be synced or restored to its old length,
   * every later call fails until the process is restarted.
   * \param replica state of the replica after the step that gave the actions
   * \param actions records to write, or a snapshot to install
   * \return an error if the disk is full or faulty
   */
  Outcome<Done> Write(const Replica& replica, const ReplicaActions& actions);

  /** \brief Replaces the snapshot file, then the log file, and syncs both. */
  Outcome<Done> SaveSnapshot(const Replica& replica);

private:
  ReplicaStore(FileOperations& files, std::string folder);
  Outcome<Done> Lock();
  Outcome<Done> Load(Replica& replica);
  Outcome<std::string> LoadFile(const char* name);
  Outcome<Done> NoteFileFailure(Outcome<Done> written);
  Outcome<Done> LoadIdentity(Replica& replica);
  Outcome<Done> LoadSnapshot(Replica& replica);
  Outcome<Done> LoadLog(Replica& replica);
  Outcome<Done> CheckSyncedMark(std::size_t validBytes);
  Outcome<Done> Initialize(std::uint64_t identity, Replica& replica);
  void RenameDamagedFiles();
  Outcome<Done> RewriteLog(const Replica& replica);
  Outcome<Done> OpenLog(std::size_t length);
  void WriteSyncedMark();

  FileOperations& files_;
  std::string folder_;
  FolderState state_ = FolderState::Valid;
  std::string damage_;
  FileDescriptor lock_;
  FileDescriptor log_;
  FileDescriptor syncedMark_;
  std::uint64_t generation_ = 0; // incremented by each rewrite of the log
  std::size_t logBytes_ = 0;     // length of the log at its last sync
  std::size_t marksWritten_ = 0;
  /** Files can't be read or written now; it says nothing of their content. */
  bool filesFailed_ = false;
  bool broken_ = false; // the log's stored content is unknown
};

} // namespace wg
