#include "Bench/RequestPromises.h"

#include "Bench/RequestFuzz.h"
#include "Bench/RequestMatrix.h"

namespace corneldeck::bench {

namespace {

Promise makePromise(const std::string &Name, RequestPromise Which,
                    std::vector<std::string> Plants) {
  Promise Made;
  Made.m_Name = Name;
  Made.m_Plants = std::move(Plants);
  Made.m_Matrix = [Which](const std::string &Plant) {
    return requestMatrix(Which, Plant);
  };
  Made.m_Fuzz = [Which](std::uint64_t Schedules, std::uint64_t Seed,
                        const std::string &Plant) {
    return fuzzRequests(Which, Schedules, Seed, Plant);
  };
  return Made;
}

} // namespace

Promise atMostOncePromise() {
  return makePromise("at-most-once", RequestPromise::AtMostOnce,
                     {"retry-after-silence", "forget-claim",
                      "skip-former-homes", "skip-window", "forget-attempt"});
}

Promise outcomePromise() {
  return makePromise("outcome", RequestPromise::Outcome,
                     {"drop-attempt", "no-for-unknown"});
}

} // namespace corneldeck::bench
