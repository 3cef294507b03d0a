// SPDX-License-Identifier: Apache-2.0
#include <cmath>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "wgEndpointSpeed.h"

namespace {

using wg::Elapsed;
using wg::EndpointSpeed;
using wg::PeerSpeeds;
using wg::SpeedChange;

constexpr Elapsed Start = absl::Seconds(100);

Elapsed At(double seconds)
{
  return Start + absl::Seconds(seconds);
}

/** A service's endpoints, each sampled 10 times a second. */
class Fleet
{
public:
  explicit Fleet(std::vector<double> factors)
    : factors_(std::move(factors))
    , speeds_(factors_.size())
  {
  }

  PeerSpeeds Peers(double at) const
  {
    std::vector<const EndpointSpeed*> all;
    for (const EndpointSpeed& speed : speeds_) {
      all.push_back(&speed);
    }
    return wg::SummarizeSpeeds(all, At(at));
  }

  /** \param busyFraction fraction of the time in which an endpoint is 2.5
   * times slower, 600 ms at a time
   */
  void Work(double from, double until, double busyFraction, std::uint64_t seed)
  {
    constexpr double step = 0.1;
    constexpr double busySeconds = 0.6;
    std::mt19937_64 random(seed);
    std::vector<double> busyUntil(speeds_.size(), 0.0);
    const double pause = busyFraction > 0.0
                           ? busySeconds * (1.0 - busyFraction) / busyFraction
                           : 1e9;
    for (double at = from; at < until; at += step) {
      for (std::size_t i = 0; i < speeds_.size(); ++i) {
        const double chance = std::uniform_real_distribution<double>()(random);
        if (at >= busyUntil[i] && chance < step / pause) {
          busyUntil[i] = at + busySeconds;
        }
        const double spread =
          std::lognormal_distribution<double>(0.0, 0.1)(random);
        const double factor =
          factors_[i] * spread * (at < busyUntil[i] ? 2.5 : 1.0);
        changes_ += Note(i, factor, at) == SpeedChange::None ? 0 : 1;
      }
    }
  }
  SpeedChange Note(std::size_t i, double factor, double at)
  {
    return wg::NoteSpeed(speeds_[i], Peers(at), { factor, factor }, At(at));
  }
  double Expected(std::size_t i, double at) const
  {
    return wg::ExpectedSlowdown(speeds_[i], Peers(at), At(at));
  }
  EndpointSpeed& Of(std::size_t i) { return speeds_[i]; }
  int Changes() const { return changes_; }

private:
  std::vector<double> factors_;
  std::vector<EndpointSpeed> speeds_;
  int changes_ = 0;
};

} // namespace

// Guards against losing a lasting difference within 10 s, or hiding it in the
// noise of machines that are busy at times.
TEST_CASE("Unequal speeds are learned under noise and remembered")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    CAPTURE(seed);
    Fleet fleet({ 0.7, 0.7, 1.7 });
    fleet.Work(0.0, 20.0, 0.15, seed);
    for (const double pause : { 1.0, 10.0, 60.0 }) {
      CAPTURE(pause);
      const double at = 20.0 + pause;
      CHECK(fleet.Expected(0, at) == fleet.Expected(1, at));
      const double ratio = fleet.Expected(2, at) / fleet.Expected(0, at);
      CHECK(ratio > 0.8 * 1.7 / 0.7);
      CHECK(ratio < 1.2 * 1.7 / 0.7);
    }
    CHECK(fleet.Changes() == 0); // noise is not classified as a fault
  }
}

// Guards against preferring one of several equal endpoints because of noise.
TEST_CASE("Equal endpoints have the same expected slowdown")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    CAPTURE(seed);
    Fleet fleet(std::vector<double>(6, 1.0));
    int different = 0;
    for (int second = 0; second < 60; ++second) {
      fleet.Work(second, second + 1.0, 0.0, seed * 100 + second);
      for (std::size_t i = 1; i < 6; ++i) {
        different +=
          fleet.Expected(i, second + 1.0) != fleet.Expected(0, second + 1.0)
            ? 1
            : 0;
      }
    }
    CHECK(different == 0);
  }
}

// Guards against avoiding an endpoint long after its machine was busy, and
// against not avoiding it meanwhile.
TEST_CASE("A machine that is busy for 600 ms counts as slow for about as long")
{
  Fleet fleet({ 1.0, 1.0, 1.0 });
  fleet.Work(0.0, 20.0, 0.0, 7);
  for (int i = 0; i < 6; ++i) {
    fleet.Note(0, 2.5, 20.0 + 0.1 * i);
  }
  CHECK(fleet.Expected(0, 20.5) > 1.5 * fleet.Expected(1, 20.5));
  CHECK(fleet.Expected(0, 22.0) < 1.35 * fleet.Expected(1, 22.0));
  CHECK_FALSE(fleet.Of(0).isFaulty);
  const wg::SlowdownEstimate now =
    wg::TransientSlowdown(fleet.Of(0), At(20.5));
  CHECK(now.confidence > 0.6);
  CHECK(wg::TransientSlowdown(fleet.Of(0), At(22.0)).confidence < 0.3);
}

// Guards against a faulty engine that still gets every request that seems to
// fit, and against one that is never probed again.
TEST_CASE("Three slow samples show a fault and two good probes end it")
{
  Fleet fleet({ 0.7, 0.7, 0.7 });
  fleet.Work(0.0, 20.0, 0.15, 3);
  EndpointSpeed& speed = fleet.Of(0);
  const double lasting = wg::LastingSlowdown(speed, fleet.Peers(20.0)).factor;
  const auto note = [&fleet](double factor, double at) {
    return fleet.Note(0, factor, at);
  };
  CHECK(note(3.5, 20.1) == SpeedChange::None);
  CHECK(note(3.5, 20.2) == SpeedChange::None);
  CHECK(wg::FaultSlowdown(speed).factor == 1.0);
  SECTION("not in a row")
  {
    CHECK(note(0.8, 20.25) == SpeedChange::None);
    CHECK(note(3.5, 20.3) == SpeedChange::None);
  }
  SECTION("three")
  {
    CHECK(note(3.5, 20.3) == SpeedChange::Faulty);
    CHECK(wg::FaultSlowdown(speed).confidence == 1.0);
    // It is probed once a second, by one request at a time.
    CHECK(wg::IsEjected(speed, 0, At(20.4)));
    CHECK_FALSE(wg::IsEjected(speed, 0, At(21.3)));
    CHECK(wg::IsEjected(speed, 1, At(21.3)));
    CHECK(note(3.5, 22.0) == SpeedChange::None);
    CHECK(wg::IsEjected(speed, 0, At(22.9)));
    wg::NoteWorkWithoutSample(speed,
                              At(23.0)); // the probe's caller disconnected
    CHECK(wg::IsEjected(speed, 0, At(23.9)));
    CHECK(note(0.7, 24.2) == SpeedChange::None);
    CHECK_FALSE(wg::IsEjected(speed, 0, At(24.2)));
    CHECK(note(0.7, 24.5) == SpeedChange::Healthy);
    // The fault has not changed the lasting slowdown.
    CHECK(wg::LastingSlowdown(speed, fleet.Peers(25.0)).factor ==
          Approx(lasting).epsilon(0.1));
  }
}

// Guards against a long fault becoming the reference that ends the fault.
TEST_CASE("A fault does not change the lasting slowdown")
{
  Fleet fleet({ 1.0, 1.0, 1.0 });
  fleet.Work(0.0, 20.0, 0.0, 3);
  for (int i = 0; i < 3; ++i) {
    fleet.Note(0, 5.0, 20.0 + i);
  }
  REQUIRE(fleet.Of(0).isFaulty);
  for (int i = 0; i < 120; ++i) {
    CHECK(fleet.Note(0, 5.0, 23.0 + i) == SpeedChange::None);
  }
  CHECK(wg::LastingSlowdown(fleet.Of(0), fleet.Peers(143.0)).factor < 1.1);
}

// Guards against ejecting engines because all are overloaded, or because
// prompts took longer than estimated.
TEST_CASE("Slow samples with another explanation show no fault")
{
  Fleet fleet({ 1.0, 1.0, 1.0, 1.0 });
  fleet.Work(0.0, 20.0, 0.0, 5);
  SECTION("most peers are as slow")
  {
    int faulty = 0;
    for (int i = 0; i < 10; ++i) {
      for (std::size_t e = 0; e < 4; ++e) {
        faulty +=
          fleet.Note(e, 5.0, 20.0 + 0.2 * i) == SpeedChange::None ? 0 : 1;
      }
    }
    CHECK(faulty == 0);
  }
  SECTION("the prompt prefix may not have been cached")
  {
    for (int i = 0; i < 10; ++i) {
      CHECK(wg::NoteSpeed(fleet.Of(0), fleet.Peers(20.0), { 5.0, 1.0 },
                          At(20.0 + 0.2 * i)) == SpeedChange::None);
    }
  }
  SECTION("there is no known slowdown to compare with")
  {
    EndpointSpeed alone;
    for (int i = 0; i < 3; ++i) {
      CHECK(wg::NoteSpeed(alone, {}, { 5.0, 5.0 }, At(0.05 * i)) ==
            SpeedChange::None);
    }
  }
}

// Guards against preferring or avoiding a new endpoint without a measurement.
TEST_CASE("An endpoint starts at the median of its peers")
{
  CHECK(wg::ExpectedSlowdown({}, {}, Start) == 1.0);
  Fleet fleet({ 0.7, 0.7, 1.7 });
  fleet.Work(0.0, 20.0, 0.0, 9);
  const EndpointSpeed unknown;
  CHECK(wg::ExpectedSlowdown(unknown, fleet.Peers(20.0), At(20.0)) ==
        fleet.Expected(0, 30.0));
  CHECK(wg::LastingSlowdown(unknown, fleet.Peers(20.0)).confidence == 0.0);
}

// Guards against one absurd measurement that outweighs all others.
TEST_CASE("Samples out of range are clamped or ignored")
{
  EndpointSpeed speed;
  const PeerSpeeds none;
  for (const double bad : { 1e300, 0.0, -5.0, std::nan("") }) {
    wg::NoteSpeed(speed, none, { bad, bad }, Start);
    const double expected = wg::ExpectedSlowdown(speed, none, Start);
    CHECK(std::isfinite(expected));
    CHECK(expected > 0.1);
    CHECK(expected <= 20.0);
    CHECK(std::isfinite(wg::LastingSlowdown(speed, none).factor));
  }
}
