#include "Direct/ServerEnds.h"

#include <algorithm>
#include <utility>

namespace corneldeck::direct {

std::string_view name(ServerLife Life) {
  switch (Life) {
  case ServerLife::Ended:
    return "ended";
  case ServerLife::Alive:
    return "alive";
  case ServerLife::Unknown:
    return "unknown";
  }
  return "unknown";
}

ServerEnds::ServerEnds(base::Clock Clock, Check StartCheck,
                       ServerEndSettings Settings)
    : m_Clock(std::move(Clock)), m_StartCheck(std::move(StartCheck)),
      m_Settings(Settings) {}

void ServerEnds::connectionBroken(const ServerStart &Start,
                                  const std::string &Address,
                                  Callback Decided) {
  check(Start, Address, std::move(Decided), m_Settings.m_ResultLifetime);
}

void ServerEnds::connectionClosed(const ServerStart &Start,
                                  const std::string &Address,
                                  Callback Decided) {
  check(Start, Address, std::move(Decided), base::Millis(0));
}

void ServerEnds::check(const ServerStart &Start, const std::string &Address,
                       Callback Decided, base::Millis MaxResultAge) {
  const auto [Found, IsNew] = m_Starts.try_emplace(Start);
  State &Known = Found->second;
  const bool IsRecent =
      !IsNew && m_Clock.now() - Known.m_CheckedAt < MaxResultAge;
  if (!Known.m_IsChecking && (IsRecent || Known.m_Life == ServerLife::Ended)) {
    Decided(Known.m_Life);
    return;
  }
  Known.m_Waiting.push_back(std::move(Decided));
  if (std::exchange(Known.m_IsChecking, true))
    return;
  m_StartCheck(Address,
               [this, Start, Lifetime = std::weak_ptr<const bool>(m_Lifetime)](
                   ServerLife Life) {
                 if (!Lifetime.expired())
                   checked(Start, Life);
               });
}

void ServerEnds::checked(const ServerStart &Start, ServerLife Life) {
  State &Known = m_Starts[Start];
  Known.m_IsChecking = false;
  Known.m_Life = Life;
  Known.m_CheckedAt = m_Clock.now();
  const std::vector<Callback> Waiting = std::move(Known.m_Waiting);
  Known.m_Waiting.clear();
  limitStarts();
  for (const Callback &Each : Waiting)
    Each(Life);
}

void ServerEnds::limitStarts() {
  if (m_Starts.size() <= m_Settings.m_MaxStarts)
    return;
  const auto Oldest = std::min_element(
      m_Starts.begin(), m_Starts.end(), [](const auto &A, const auto &B) {
        return std::pair(A.second.m_IsChecking, A.second.m_CheckedAt) <
               std::pair(B.second.m_IsChecking, B.second.m_CheckedAt);
      });
  if (!Oldest->second.m_IsChecking)
    m_Starts.erase(Oldest);
}

} // namespace corneldeck::direct
