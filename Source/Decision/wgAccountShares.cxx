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

/** Longer than any call: one is given up after three times what it should
 * take, and the longest that a document may name takes some seconds.
 */
constexpr double MostChargeMs = 600000.0;
constexpr double LeastWeight = 1e-6;
constexpr double MostWeight = 1e6;
/** A call carries 18 to 88 pieces: accounts of equal demand differ by some of
 * them by chance. docs/design/account-shares.md has figures for other margins.
 */
constexpr double ShareMargin = 1.05;

std::int64_t StepOf(Elapsed time)
{
  absl::Duration rest;
  return absl::IDivDuration(time, AccountWindow / AccountSteps, &rest);
}

std::size_t SlotOf(std::int64_t step)
{
  return static_cast<std::size_t>(step % AccountSteps);
}

bool IsSound(double ms)
{
  return std::isfinite(ms) && ms >= 0.0 && ms <= MostChargeMs;
}

bool IsSoundWeight(double weight)
{
  return std::isfinite(weight) && weight >= LeastWeight &&
         weight <= MostWeight;
}

/** Empties the steps that the window reaches now, and forgets accounts that
 * have no work in it.
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

/** Steps that have left the window since the last charge do not count. */
double UsedMs(const RecentWork& use, std::int64_t newest, std::int64_t step)
{
  const std::int64_t gone =
    std::clamp<std::int64_t>(step - newest, 0, AccountSteps);
  double sum = 0.0;
  for (std::int64_t s = newest - AccountSteps + 1 + gone; s <= newest; ++s) {
    sum += s < 0 ? 0.0F : use.ms[SlotOf(s)];
  }
  return sum;
}

/** An account as the division of the window's work sees it. */
struct Party
{
  absl::string_view account;
  double used = 0.0;
  double wanted = 0.0; // used and waiting
  double weight = 1.0;

  double Ratio() const { return wanted / weight; }
};

std::vector<Party> ListParties(const AccountShares& shares,
                               const AccountDemands& demands, Elapsed now)
{
  std::vector<Party> parties;
  parties.reserve(shares.accounts.size() + demands.size());
  const std::int64_t step = StepOf(now);
  for (const auto& [name, use] : shares.accounts) {
    Party party{ name, UsedMs(use, shares.step, step), 0.0, use.weight };
    auto waits = demands.find(name);
    party.wanted = party.used;
    if (waits != demands.end()) {
      party.wanted += waits->second.ms;
      party.weight = waits->second.weight;
    }
    if (party.wanted > 0.0) {
      parties.push_back(party);
    }
  }
  for (const auto& [name, demand] : demands) {
    if (!shares.accounts.contains(name)) {
      parties.push_back({ name, 0.0, demand.ms, demand.weight });
    }
  }
  for (Party& party : parties) {
    party.wanted = IsSound(party.wanted) ? party.wanted : party.used;
    party.weight = IsSoundWeight(party.weight) ? party.weight : 1.0;
  }
  return parties;
}

double SumOfWeights(absl::Span<const Party> parties)
{
  return std::accumulate(
    parties.begin(), parties.end(), 0.0,
    [](double sum, const Party& party) { return sum + party.weight; });
}

/** The work for each unit of weight that accounts with more demand get.
 * Halves the accounts in question around the median of their demand, so that
 * the cost is linear; orders `parties` anew.
 */
double FindLevel(double work, absl::Span<Party> parties)
{
  double moreWeight = 0.0; // of accounts that want more than the level
  while (!parties.empty()) {
    const std::size_t middle = parties.size() / 2;
    std::nth_element(
      parties.begin(), parties.begin() + middle, parties.end(),
      [](const Party& a, const Party& b) { return a.Ratio() < b.Ratio(); });
    const auto less = parties.first(middle + 1);
    const auto more = parties.subspan(middle + 1);
    const double lessWanted = std::accumulate(
      less.begin(), less.end(), 0.0,
      [](double sum, const Party& party) { return sum + party.wanted; });
    const double atMiddle =
      lessWanted + parties[middle].Ratio() * (SumOfWeights(more) + moreWeight);
    if (atMiddle <= work) {
      work -= lessWanted;
      parties = more;
    } else {
      moreWeight += SumOfWeights(more) + parties[middle].weight;
      parties = parties.first(middle);
    }
  }
  return moreWeight > 0.0 ? work / moreWeight
                          : std::numeric_limits<double>::infinity();
}

} // namespace

bool ChargeWork(AccountShares& shares, const AccountWork& work, Elapsed now)
{
  if (!IsSound(work.ms) || !IsSoundWeight(work.weight) ||
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
  if (!IsSound(ms) || !IsSound(charged.ms) || started > now) {
    return false;
  }
  Advance(shares, now);
  const std::int64_t step = StepOf(started);
  auto found = shares.accounts.find(charged.account);
  // What has left the window is of no account any more.
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

AccountStandings JudgeAccounts(const AccountShares& shares,
                               const AccountDemands& demands,
                               absl::Duration wait, Elapsed now)
{
  AccountStandings standings;
  if (wait <= ContendedWait) {
    return standings;
  }
  std::vector<Party> parties = ListParties(shares, demands, now);
  if (parties.size() < 2) {
    return standings;
  }
  const double work = std::accumulate(
    parties.begin(), parties.end(), 0.0,
    [](double sum, const Party& party) { return sum + party.used; });
  const double level = FindLevel(work, absl::MakeSpan(parties));
  for (const Party& party : parties) {
    const double share = level * party.weight;
    if (party.used > share * ShareMargin) {
      standings.exceeded[party.account] = { party.used, share };
    }
  }
  return standings;
}

bool UsesOnlyLeftovers(const AccountStandings& standings,
                       absl::string_view account)
{
  return !standings.exceeded.empty() && standings.exceeded.contains(account);
}

std::vector<std::string> MostExceeding(const AccountStandings& standings,
                                       std::size_t most)
{
  std::vector<std::pair<double, std::string>> accounts;
  for (const auto& [name, exceeded] : standings.exceeded) {
    accounts.emplace_back(exceeded.share - exceeded.used, name);
  }
  const std::size_t count = std::min(most, accounts.size());
  std::partial_sort(accounts.begin(), accounts.begin() + count,
                    accounts.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(std::move(accounts[i].second));
  }
  return names;
}

} // namespace wg
