// SPDX-License-Identifier: Apache-2.0
// Tells the thread sanitizer of Abseil's locks. The packaged Abseil is built
// without it, so that it sees no order between two holders of a lock, nor the
// order in which locks are taken. Linked with --wrap into builds with this
// sanitizer only; the names are those of the packaged library.
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/time.h"

// The names are the linker's and the sanitizer's own.
// NOLINTBEGIN(readability-identifier-naming,bugprone-reserved-identifier)
extern "C" {

void __tsan_acquire(void* address);
void __tsan_release(void* address);
void __tsan_mutex_destroy(void* address, unsigned flags);
void __tsan_mutex_pre_lock(void* address, unsigned flags);
void __tsan_mutex_post_lock(void* address, unsigned flags, int recursion);
int __tsan_mutex_pre_unlock(void* address, unsigned flags);
void __tsan_mutex_post_unlock(void* address, unsigned flags);

#define WG_LOCK _ZN4absl7debian35Mutex4LockEv
#define WG_UNLOCK _ZN4absl7debian35Mutex6UnlockEv
#define WG_DESTROY _ZN4absl7debian35MutexD1Ev
#define WG_AWAIT _ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE
#define WG_AWAIT_FOR                                                          \
  _ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE
#define WG_NOTIFY _ZN4absl7debian312Notification6NotifyEv
#define WG_WAIT _ZNK4absl7debian312Notification19WaitForNotificationEv
#define WG_WAIT_FOR                                                           \
  _ZNK4absl7debian312Notification30WaitForNotificationWithTimeoutENS0_8DurationE
#define WG_PASTE(prefix, name) prefix##name
#define WG_JOIN(prefix, name) WG_PASTE(prefix, name)
#define WG_REAL(name) WG_JOIN(__real_, name)
#define WG_WRAP(name) WG_JOIN(__wrap_, name)

void WG_REAL(WG_LOCK)(absl::Mutex* mutex);
void WG_REAL(WG_UNLOCK)(absl::Mutex* mutex);
void WG_REAL(WG_DESTROY)(absl::Mutex* mutex);
void WG_REAL(WG_AWAIT)(absl::Mutex* mutex, const absl::Condition& condition);
bool WG_REAL(WG_AWAIT_FOR)(absl::Mutex* mutex,
                           const absl::Condition& condition,
                           absl::Duration timeout);
void WG_REAL(WG_NOTIFY)(absl::Notification* notification);
void WG_REAL(WG_WAIT)(const absl::Notification* notification);
bool WG_REAL(WG_WAIT_FOR)(const absl::Notification* notification,
                          absl::Duration timeout);

// Between "pre" and "post" the sanitizer passes over what the thread does:
// whoever unlocks may look at the conditions of those who wait.

void WG_WRAP(WG_LOCK)(absl::Mutex* mutex)
{
  __tsan_mutex_pre_lock(mutex, 0);
  WG_REAL(WG_LOCK)(mutex);
  __tsan_mutex_post_lock(mutex, 0, 0);
}

void WG_WRAP(WG_UNLOCK)(absl::Mutex* mutex)
{
  __tsan_mutex_pre_unlock(mutex, 0);
  WG_REAL(WG_UNLOCK)(mutex);
  __tsan_mutex_post_unlock(mutex, 0);
}

void WG_WRAP(WG_DESTROY)(absl::Mutex* mutex)
{
  __tsan_mutex_destroy(mutex, 0);
  WG_REAL(WG_DESTROY)(mutex);
}

void WG_WRAP(WG_AWAIT)(absl::Mutex* mutex, const absl::Condition& condition)
{
  __tsan_mutex_pre_unlock(mutex, 0);
  __tsan_mutex_post_unlock(mutex, 0);
  __tsan_mutex_pre_lock(mutex, 0);
  WG_REAL(WG_AWAIT)(mutex, condition);
  __tsan_mutex_post_lock(mutex, 0, 0);
}

bool WG_WRAP(WG_AWAIT_FOR)(absl::Mutex* mutex,
                           const absl::Condition& condition,
                           absl::Duration timeout)
{
  __tsan_mutex_pre_unlock(mutex, 0);
  __tsan_mutex_post_unlock(mutex, 0);
  __tsan_mutex_pre_lock(mutex, 0);
  const bool met = WG_REAL(WG_AWAIT_FOR)(mutex, condition, timeout);
  __tsan_mutex_post_lock(mutex, 0, 0);
  return met;
}

void WG_WRAP(WG_NOTIFY)(absl::Notification* notification)
{
  __tsan_release(notification);
  WG_REAL(WG_NOTIFY)(notification);
}

void WG_WRAP(WG_WAIT)(const absl::Notification* notification)
{
  WG_REAL(WG_WAIT)(notification);
  __tsan_acquire(const_cast<absl::Notification*>(notification));
}

bool WG_WRAP(WG_WAIT_FOR)(const absl::Notification* notification,
                          absl::Duration timeout)
{
  const bool notified = WG_REAL(WG_WAIT_FOR)(notification, timeout);
  if (notified) {
    __tsan_acquire(const_cast<absl::Notification*>(notification));
  }
  return notified;
}

} // extern "C"
// NOLINTEND(readability-identifier-naming,bugprone-reserved-identifier)
