#ifndef CORNELDECK_BASE_RANDOM_H
#define CORNELDECK_BASE_RANDOM_H

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

namespace corneldeck::base {

/// A seeded random number generator with the same sequence for the same seed on
/// every machine.
class Random {
public:
  /// \param Seed determines the sequence.
  explicit Random(std::uint64_t Seed) : m_Engine(Seed) {}

  /// \returns a uniformly distributed integer from 0 to \p Bound - 1; 0 if \p
  /// Bound is 0.
  std::uint64_t below(std::uint64_t Bound);

  /// \returns a uniformly distributed number in [0, 1).
  double uniform();

  /// \returns an exponentially distributed number with mean \p Mean.
  double exponential(double Mean);

  /// \returns a normally distributed number with mean \p Mean and standard
  /// deviation \p Deviation.
  double normal(double Mean, double Deviation);

  /// \returns true with probability \p Probability.
  bool chance(double Probability) { return uniform() < Probability; }

private:
  boost::random::mt19937_64 m_Engine;
};

} // namespace corneldeck::base

#endif
