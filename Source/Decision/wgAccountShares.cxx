// SPDX-License-Identifier: Apache-2.0
#include "wgAccountShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "absl/types/span.h"

namespace wg {
namespace {

/** Longer than any call: a call is abandoned after three times its expected
 * time, and the longest call that a document may configure takes some seconds.
 */
constexpr double MaxChargeMs = 600000.0;
constexpr double MinWeight = 1e-6;
constexpr double MaxWeight = 1e6;
/** An account exceeds its share only above this multiple of it. A call carries
 * 18 to 88 pieces, so that accounts of equal demand differ by a few pieces by
 * chance. docs/design/account-shares.md has figures for other margins.
 */
constexpr double ShareMargin = 1.05;

std::int64_t StepOf(Elapsed time)
{
  absl::Duration remainder;
  return absl::IDivDuration(time, AccountWindow / AccountSteps, &remainder);
}

std::size_t SlotOf(std::int64_t step)
{
  return static_cast<std::size_t>(step % AccountSteps);
}

bool IsValidMs(double ms)
{
  return std::isfinite(ms) && ms >= 0.0 && ms <= MaxChargeMs;
}

bool IsValidWeight(double weight)
{
  return std::isfinite(weight) && weight >= MinWeight && weight <= MaxWeight;
}

/** Advances the window to the present, clears the steps that it enters, and
 * removes accounts without work in it.
 */
void Advance(AccountShares& shares, Elapsed now)
{
  const std::int64_t step = StepOf(now);
  if (step <= shares.step) {
    return;
  }
  const std::int64_t first =
    std::max(shares.step + 1, step - AccountSteps + 1);
  for (auto& [name, use] : shares.accounts) {
    for (std::int64_t s = first; s <= step; ++s) {
      use.ms[SlotOf(s)] = 0.0F;
    }
  }
  shares.step = step;
  absl::erase_if(shares.accounts, [](const auto& item) {
    const auto& ms = item.second.ms;
    return std::all_of(ms.begin(), ms.end(),
                       [](float m) { return m <= 0.0F; });
  });
}

/** Sums the steps that are still within the window at `step`. */
double UsedMs(const RecentWork& use, std::int64_t newest, std::int64_t step)
{
  const std::int64_t expired =
    std::clamp<std::int64_t>(step - newest, 0, AccountSteps);
  double sum = 0.0;
  for (std::int64_t s = newest - AccountSteps + 1 + expired; s <= newest;
       ++s) {
    sum += s < 0 ? 0.0F : use.ms[SlotOf(s)];
  }
  return sum;
}

/** Work, demand and weight of an account in the max-min division. */
struct Contender
{
  absl::string_view account;
  double used = 0.0;
  double wanted = 0.0; // used plus waiting
  double weight = 1.0;

  double Ratio() const { return wanted / weight; }
};

std::vector<Contender> ListContenders(const AccountShares& shares,
                                      const AccountDemands& demands,
                                      Elapsed now)
{
  std::vector<Contender> contenders;
  contenders.reserve(shares.accounts.size() + demands.size());
  const std::int64_t step = StepOf(now);
  for (const auto& [name, use] : shares.accounts) {
    Contender contender{ name, UsedMs(use, shares.step, step), 0.0,
                         use.weight };
    auto waits = demands.find(name);
    contender.wanted = contender.used;
    if (waits != demands.end()) {
      contender.wanted += waits->second.ms;
      contender.weight = waits->second.weight;
    }
    if (contender.wanted > 0.0) {
      contenders.push_back(contender);
    }
  }
  for (const auto& [name, demand] : demands) {
    if (!shares.accounts.contains(name)) {
      contenders.push_back({ name, 0.0, demand.ms, demand.weight });
    }
  }
  for (Contender& contender : contenders) {
    contender.wanted =
      IsValidMs(contender.wanted) ? contender.wanted : contender.used;
    contender.weight =
      IsValidWeight(contender.weight) ? contender.weight : 1.0;
  }
  return contenders;
}

double SumOfWeights(absl::Span<const Contender> contenders)
{
  return std::accumulate(contenders.begin(), contenders.end(), 0.0,
                         [](double sum, const Contender& contender) {
                           return sum + contender.weight;
                         });
}

/** Returns the work per unit of weight of the accounts whose demand is not
 * met. Each step halves the remaining accounts at the median of their demand
 * per weight, so that the expected time is linear. Reorders `contenders`.
 */
double FindLevel(double work, absl::Span<Contender> contenders)
{
  double moreWeight = 0.0; // of accounts with demand above the level
  while (!contenders.empty()) {
    const std::size_t middle = contenders.size() / 2;
    std::nth_element(contenders.begin(), contenders.begin() + middle,
                     contenders.end(),
                     [](const Contender& a, const Contender& b) {
                       return a.Ratio() < b.Ratio();
                     });
    const auto less = contenders.first(middle + 1);
    const auto more = contenders.subspan(middle + 1);
    const double lessWanted =
      std::accumulate(less.begin(), less.end(), 0.0,
                      [](double sum, const Contender& contender) {
                        return sum + contender.wanted;
                      });
    const double atMiddle = lessWanted + contenders[middle].Ratio() *
                                           (SumOfWeights(more) + moreWeight);
    if (atMiddle <= work) {
      work -= lessWanted;
      contenders = more;
    } else {
      moreWeight += SumOfWeights(more) + contenders[middle].weight;
      contenders = contenders.first(middle);
    }
  }
  return moreWeight > 0.0 ? work / moreWeight
                          : std::numeric_limits<double>::infinity();
}

} // namespace

bool ChargeWork(AccountShares& shares, const AccountWork& work, Elapsed now)
{
  if (!IsValidMs(work.ms) || !IsValidWeight(work.weight) ||
      now < absl::ZeroDuration()) {
    return false;
  }
  Advance(shares, now);
  RecentWork& use = shares.accounts[work.account];
  use.weight = work.weight;
  use.ms[SlotOf(shares.step)] += static_cast<float>(work.ms);
  return true;
}

bool SettleWork(AccountShares& shares, const AccountWork& charged, double ms,
                Elapsed started, Elapsed now)
{
  if (!IsValidMs(ms) || !IsValidMs(charged.ms) || started > now) {
    return false;
  }
  Advance(shares, now);
  const std::int64_t step = StepOf(started);
  auto found = shares.accounts.find(charged.account);
  // Work that has left the window no longer counts.
  if (step > shares.step - AccountSteps && step >= 0 &&
      found != shares.accounts.end()) {
    float& kept = found->second.ms[SlotOf(step)];
    kept = std::max(0.0F, kept + static_cast<float>(ms - charged.ms));
  }
  return true;
}

double UsedMs(const AccountShares& shares, absl::string_view account,
              Elapsed now)
{
  auto found = shares.accounts.find(account);
  return found == shares.accounts.end()
           ? 0.0
           : UsedMs(found->second, shares.step, StepOf(now));
}

AccountStandings EvaluateAccounts(const AccountShares& shares,
                                  const AccountDemands& demands,
                                  absl::Duration wait, Elapsed now)
{
  AccountStandings standings;
  if (wait <= ContendedWait) {
    return standings;
  }
  std::vector<Contender> contenders = ListContenders(shares, demands, now);
  if (contenders.size() < 2) {
    return standings;
  }
  const double work =
    std::accumulate(contenders.begin(), contenders.end(), 0.0,
                    [](double sum, const Contender& contender) {
                      return sum + contender.used;
                    });
  const double level = FindLevel(work, absl::MakeSpan(contenders));
  for (const Contender& contender : contenders) {
    const double share = level * contender.weight;
    if (contender.used > share * ShareMargin) {
      standings.exceeded[contender.account] = { contender.used, share };
    }
  }
  return standings;
}

bool IsOverShare(const AccountStandings& standings, absl::string_view account)
{
  return !standings.exceeded.empty() && standings.exceeded.contains(account);
}

std::vector<std::string> FurthestOverShare(const AccountStandings& standings,
                                           std::size_t maxCount)
{
  std::vector<std::pair<double, std::string>> accounts;
  for (const auto& [name, exceeded] : standings.exceeded) {
    accounts.emplace_back(exceeded.share - exceeded.used, name);
  }
  const std::size_t count = std::min(maxCount, accounts.size());
  std::partial_sort(accounts.begin(), accounts.begin() + count,
                    accounts.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(std::move(accounts[i].second));
  }
  return names;
}

} // namespace wg
