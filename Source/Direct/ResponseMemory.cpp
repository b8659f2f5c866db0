#include "Direct/ResponseMemory.h"

#include <algorithm>

namespace corneldeck::direct {

void ResponseMemory::set(std::uint64_t Request, const std::string &Server,
                         std::size_t Bytes) {
  const auto Known = m_ServerByRequest.find(Request);
  if (Known != m_ServerByRequest.end() && Known->second != Server)
    remove(Request);
  if (Bytes == 0) {
    remove(Request);
    return;
  }
  m_ServerByRequest.try_emplace(Request, Server);
  auto &Of = m_Servers[Server];
  std::size_t &Held = Of.m_BytesByRequest[Request];
  Of.m_Bytes = Of.m_Bytes - Held + Bytes;
  setTotal(m_Total - Held + Bytes);
  Held = Bytes;
}

void ResponseMemory::remove(std::uint64_t Request) {
  const auto Known = m_ServerByRequest.find(Request);
  if (Known == m_ServerByRequest.end())
    return;
  const auto Of = m_Servers.find(Known->second);
  const auto Held = Of->second.m_BytesByRequest.find(Request);
  Of->second.m_Bytes -= Held->second;
  setTotal(m_Total - Held->second);
  Of->second.m_BytesByRequest.erase(Held);
  if (Of->second.m_BytesByRequest.empty())
    m_Servers.erase(Of);
  m_ServerByRequest.erase(Known);
}

void ResponseMemory::setTotal(std::size_t Bytes) {
  m_Total = Bytes;
  if (m_OnChanged)
    m_OnChanged(Bytes);
}

std::optional<std::uint64_t> ResponseMemory::excess() const {
  if (m_Total <= m_MaxBytes)
    return std::nullopt;
  const auto &Requests = largest()->m_BytesByRequest;
  return std::max_element(Requests.begin(), Requests.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.second < Right.second;
                          })
      ->first;
}

std::size_t ResponseMemory::largestShare() const {
  return m_Servers.empty() ? 0 : largest()->m_Bytes;
}

const ResponseMemory::Server *ResponseMemory::largest() const {
  return &std::max_element(m_Servers.begin(), m_Servers.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left.second.m_Bytes < Right.second.m_Bytes;
                           })
              ->second;
}

} // namespace corneldeck::direct
