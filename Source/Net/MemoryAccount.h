#ifndef CORNELDECK_NET_MEMORYACCOUNT_H
#define CORNELDECK_NET_MEMORYACCOUNT_H

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_set>

namespace corneldeck::net {

class MemoryHolder;

/// The limit because of which a caller is cut off.
enum class CallerLimit {
  Memory,       ///< The bytes held for all callers and servers.
  Connections,  ///< The number of connections.
  HeadBytes,    ///< The size of the header section.
  BodyBytes,    ///< The size of the body.
  FramingBytes, ///< The size of the trailers or of the extension of a chunk.
};

/// \returns the name of a limit, such as "memory".
std::string_view name(CallerLimit Limit);

/// A caller that is cut off.
struct CallerCutOff {
  /// The address of the caller, "ip:port".
  std::string m_Caller;
  std::size_t m_HeldBytes = 0;
  CallerLimit m_Limit = CallerLimit::Memory;
};

/// The bytes that a process holds for callers and backend servers, as
/// allocated: header sections, bodies, trailers, queued output, buffered
/// responses and partial events.
///
/// If all together exceed the bound, the holder with the largest product of
/// bytes and time is cut off, until the rest is within the bound. The time
/// protects a large request that has just arrived against those that stop short
/// of their end. Not thread-safe.
class MemoryAccount {
public:
  using CutOffHook = std::function<void(const CallerCutOff &)>;

  /// \param MaxBytes the bound for all holders together.
  explicit MemoryAccount(
      std::size_t MaxBytes = std::numeric_limits<std::size_t>::max())
      : m_MaxBytes(MaxBytes) {}

  /// Sets the hook that is called for each caller that is cut off.
  void onCutOff(CutOffHook Hook) { m_OnCutOff = std::move(Hook); }
  /// Records that a caller is cut off.
  void recordCutOff(const CallerCutOff &Cut) const;

  /// Records the bytes of responses from backend servers, which have an
  /// additional bound of their own.
  void setResponseBytes(std::size_t Bytes);

  /// Cuts off holders until the rest is within the bound.
  void reduce(base::Millis Now);

  [[nodiscard]] bool isExceeded() const { return m_Total > m_MaxBytes; }
  [[nodiscard]] std::size_t total() const { return m_Total; }
  [[nodiscard]] std::size_t maxBytes() const { return m_MaxBytes; }

private:
  friend class MemoryHolder;

  [[nodiscard]] MemoryHolder *worstHolder(base::Millis Now) const;

  const std::size_t m_MaxBytes;
  std::size_t m_Total = 0;
  std::size_t m_ResponseBytes = 0;
  /// Those that hold anything.
  std::unordered_set<MemoryHolder *> m_Holders;
  CutOffHook m_OnCutOff;
};

/// The share of one connection in a MemoryAccount, which must outlive it.
class MemoryHolder {
public:
  /// \param CutOff frees what is held; the share is zero afterwards.
  MemoryHolder(MemoryAccount &Account, std::function<void()> CutOff)
      : m_Account(Account), m_CutOff(std::move(CutOff)) {}
  ~MemoryHolder();
  MemoryHolder(const MemoryHolder &) = delete;
  MemoryHolder &operator=(const MemoryHolder &) = delete;

  /// Records how many bytes are held.
  /// \param Now the time, which counts from the first byte.
  void set(std::size_t Bytes, base::Millis Now);

  [[nodiscard]] std::size_t bytes() const { return m_Bytes; }

private:
  friend class MemoryAccount;

  MemoryAccount &m_Account;
  const std::function<void()> m_CutOff;
  std::size_t m_Bytes = 0;
  base::Millis m_HeldSince{};
};

} // namespace corneldeck::net

#endif
