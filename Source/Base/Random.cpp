#include "Base/Random.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace corneldeck::base {

std::uint64_t Random::below(std::uint64_t Bound) {
  if (Bound == 0)
    return 0;
  return boost::random::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(
      m_Engine);
}

double Random::uniform() {
  return boost::random::uniform_01<double>()(m_Engine);
}

double Random::exponential(double Mean) {
  return boost::random::exponential_distribution<double>(1.0 / Mean)(m_Engine);
}

double Random::normal(double Mean, double Deviation) {
  return boost::random::normal_distribution<double>(Mean, Deviation)(m_Engine);
}

} // namespace corneldeck::base
