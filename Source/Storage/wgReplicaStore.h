// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>

#include "wgFileOperations.h"
#include "wgOutcome.h"
#include "wgReplica.h"
#include "wgSocket.h"

namespace wg {

/** \brief How a data folder was found at the start. */
enum class FolderState
{
  Fresh,  // nothing in it: a new identity was made
  Sound,  // the replica that it belongs to goes on
  Damaged // what it held is set aside: a new identity was made
};

/** \class ReplicaStore
 * \brief The files of one replica in its data folder.
 *
 * `log` holds entries and hard states in the order of their writing,
 * `snapshot` the state that the log starts from, `identity` the replica's
 * number and cluster, `synced` how much of the log is known to have lasted,
 * and `lock` keeps a second process out.
 */
class ReplicaStore
{
public:
  /** \brief Opens the folder and fills the durable part of the replica.
   * \param newIdentity taken as the replica's number if it needs a new one
   */
  static Outcome<std::unique_ptr<ReplicaStore>> Open(FileOperations& files,
                                                     const std::string& folder,
                                                     std::uint64_t newIdentity,
                                                     Replica& replica);

  FolderState State() const { return state_; }
  const std::string& Damage() const { return damage_; }

  /** \brief Names the cluster that the replica belongs to, lastingly. */
  Outcome<Done> SetCluster(const Replica& replica);

  /** \brief Writes and syncs all that the actions ask for. After an error
   * nothing of it counts as written, and the same call may be tried again.
   */
  Outcome<Done> Write(const Replica& replica, const ReplicaActions& actions);

  /** \brief Lays down the replica's snapshot and the log that follows it. */
  Outcome<Done> SaveSnapshot(const Replica& replica);

private:
  ReplicaStore(FileOperations& files, std::string folder);
  Outcome<Done> Lock();
  Outcome<Done> Load(Replica& replica);
  Outcome<Done> LoadIdentity(Replica& replica);
  Outcome<Done> LoadSnapshot(Replica& replica);
  Outcome<Done> LoadLog(Replica& replica);
  Outcome<Done> CheckSyncedMark(std::size_t soundBytes);
  Outcome<Done> StartAnew(std::uint64_t identity, Replica& replica);
  void SetAside();
  Outcome<Done> RewriteLog(const Replica& replica);
  Outcome<Done> OpenLog(std::size_t length);
  void NoteSynced();

  FileOperations& files_;
  std::string folder_;
  FolderState state_ = FolderState::Sound;
  std::string damage_;
  FileDescriptor lock_;
  FileDescriptor log_;
  FileDescriptor syncedMark_;
  std::uint64_t generation_ = 0;
  std::size_t logBytes_ = 0;
  bool broken_ = false;
};

} // namespace wg
