#include "Direct/RateTokenGranter.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

constexpr double MillisPerSecond = 1000;
/// Tokens of a server that may exist at a time: this number, and those of one
/// second.
constexpr double BaseTokens = 2;
/// Tolerance of a sum of tokens, for rounding errors.
constexpr double TokenTolerance = 1e-9;

} // namespace

void RateTokenGranter::setRates(const std::map<std::string, TokenRate> &Rates,
                                base::Millis Now) {
  std::erase_if(m_Buckets, [&Rates](const auto &Each) {
    return !Rates.contains(Each.first);
  });
  for (const auto &[Server, Rate] : Rates) {
    const auto [Found, IsNew] = m_Buckets.try_emplace(Server);
    Bucket &Of = Found->second;
    if (IsNew)
      Of.m_RefilledAt = std::max(Now, Rate.m_StartsAt);
    if (!IsNew)
      refill(Of, Now);
    Of.m_PerSecond = Rate.m_PerSecond;
    Of.m_MaxTokens = Rate.m_MaxTokens;
    refill(Of, Now);
  }
}

void RateTokenGranter::discardBounded() {
  std::erase_if(m_Buckets, [](const auto &Each) {
    return Each.second.m_MaxTokens.has_value();
  });
}

void RateTokenGranter::request(const std::string &Server,
                               const std::string &Entry,
                               base::Millis RequestedAt, base::Millis Now) {
  const auto Found = m_Buckets.find(Server);
  if (Found == m_Buckets.end())
    return;
  std::deque<Waiting> &Queue = Found->second.m_Waiting;
  const base::Millis Expiry = Now + m_Settings.m_RequestLifetime;
  const auto Position =
      std::find_if(Queue.begin(), Queue.end(), [&Entry](const Waiting &Each) {
        return Each.m_Entry == Entry;
      });
  if (Position == Queue.end())
    Queue.push_back({Entry, RequestedAt, Expiry});
  else
    *Position = {Entry, RequestedAt, Expiry};
}

void RateTokenGranter::returned(const std::string &Server, std::uint64_t Number,
                                base::Millis Now) {
  const auto Found = m_Buckets.find(Server);
  if (Found == m_Buckets.end())
    return;
  refill(Found->second, Now);
  if (Found->second.m_Granted.erase(Number) > 0)
    Found->second.m_Tokens += 1;
}

void RateTokenGranter::used(const std::string &Server, std::uint64_t Number,
                            base::Millis Now) {
  const auto Found = m_Buckets.find(Server);
  if (Found == m_Buckets.end())
    return;
  refill(Found->second, Now);
  Found->second.m_Granted.erase(Number);
}

std::vector<RateTokenGranter::Grant>
RateTokenGranter::grantAvailable(base::Millis Now) {
  // A token may arrive as late as its entry accepts it, be held, and be
  // returned.
  const base::Millis LongestUse = m_Settings.m_RequestLifetime +
                                  m_Settings.m_HoldTime +
                                  m_Settings.m_TransitTime * 2;
  std::vector<Grant> Grants;
  for (auto &[Server, Of] : m_Buckets) {
    if (Of.m_Waiting.empty())
      continue;
    refill(Of, Now);
    while (!Of.m_Waiting.empty() && Of.m_Tokens >= 1 - TokenTolerance) {
      Of.m_Tokens = std::max(0.0, Of.m_Tokens - 1);
      const std::uint64_t Number = m_NextNumber++;
      Of.m_Granted.emplace(Number, Now + LongestUse);
      const Waiting &Next = Of.m_Waiting.front();
      Grants.push_back({Server, Next.m_Entry, Number, Next.m_RequestedAt});
      Of.m_Waiting.pop_front();
    }
  }
  return Grants;
}

bool RateTokenGranter::hasWaiting() const {
  return std::any_of(m_Buckets.begin(), m_Buckets.end(), [](const auto &Each) {
    return !Each.second.m_Waiting.empty();
  });
}

void RateTokenGranter::refill(Bucket &Of, base::Millis Now) {
  std::erase_if(Of.m_Granted,
                [Now](const auto &Each) { return Each.second <= Now; });
  std::erase_if(Of.m_Waiting,
                [Now](const Waiting &Each) { return Each.m_Expiry <= Now; });
  const base::Millis Begin = std::min(Of.m_RefilledAt, Now);
  const auto Elapsed = static_cast<double>((Now - Begin).count());
  Of.m_RefilledAt = std::max(Of.m_RefilledAt, Now);
  const double Bound =
      std::max(0.0, Of.m_MaxTokens.value_or(BaseTokens + Of.m_PerSecond) -
                        static_cast<double>(Of.m_Granted.size()));
  Of.m_Tokens =
      std::min(Bound, Of.m_Tokens + Of.m_PerSecond * Elapsed / MillisPerSecond);
}

} // namespace corneldeck::direct
