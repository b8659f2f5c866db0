#ifndef CORNELDECK_BASE_RANDOM_H
#define CORNELDECK_BASE_RANDOM_H

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

namespace corneldeck::base {

/// A seeded source of random numbers that gives the same numbers for the same
/// seed on every machine.
class Random {
public:
  /// \param Seed decides every number that follows.
  explicit Random(std::uint64_t Seed) : m_Engine(Seed) {}

  /// \returns an even draw from 0 to \p Bound - 1; 0 if \p Bound is 0.
  std::uint64_t below(std::uint64_t Bound);

  /// \returns an even draw from [0, 1).
  double uniform();

  /// \returns a draw from the exponential distribution with mean \p Mean.
  double exponential(double Mean);

  /// \returns a draw from the normal distribution.
  double normal(double Mean, double Deviation);

  /// \returns true with probability \p Probability.
  bool chance(double Probability) { return uniform() < Probability; }

private:
  boost::random::mt19937_64 m_Engine;
};

} // namespace corneldeck::base

#endif
