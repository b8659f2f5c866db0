#ifndef CORNELDECK_TESTS_PLATFORM_HOSTILECLIENTS_H
#define CORNELDECK_TESTS_PLATFORM_HOSTILECLIENTS_H

#include "Soak/ChildProcess.h"
#include "StandinServer.h"
#include "StandinStore.h"

#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

inline constexpr std::size_t KiB = 1024;
inline constexpr std::size_t MiB = 1024 * KiB;

/// What one hostile caller sends and how it reads.
struct HostilePlan {
  /// Sent once.
  std::string m_Start;
  /// Sent again and again after that; nothing if empty.
  std::string m_Repeat;
  /// Bytes after which the caller stops sending and stays open.
  std::size_t m_MaxBytes = 0;
  /// Whether it sets a small receive buffer, so that the system holds little
  /// of the responses that it does not read.
  bool m_HasSmallBuffer = false;
  /// Interval between two connections.
  std::chrono::milliseconds m_ConnectInterval{};
  /// Interval between two reads of one byte; no reads if zero.
  std::chrono::milliseconds m_ReadInterval{};
};

/// A caller on a non-blocking socket that keeps to its plan until the entry
/// closes the connection.
class HostileClient {
public:
  HostileClient(const std::string &Address, const HostilePlan &Plan);
  ~HostileClient();
  HostileClient(HostileClient &&Other) noexcept;
  HostileClient &operator=(HostileClient &&) = delete;
  HostileClient(const HostileClient &) = delete;
  HostileClient &operator=(const HostileClient &) = delete;

  /// Sends and reads as far as the plan and the socket permit.
  /// \returns whether anything was sent.
  bool pump();
  /// \returns whether the plan has more to send.
  [[nodiscard]] bool isSending() const;
  [[nodiscard]] std::size_t sent() const { return m_Sent; }
  /// \returns whether the connection was found closed.
  [[nodiscard]] bool isBroken() const { return m_IsBroken; }

private:
  const HostilePlan *m_Plan;
  int m_Socket = -1;
  bool m_IsBroken = false;
  std::size_t m_Sent = 0;
  std::chrono::steady_clock::time_point m_LastRead;
};

/// A real entry process on loopback, with stand-ins for the log and a backend
/// server in the process of the test, and a crowd of hostile callers.
class HostileClients : public testing::Test {
protected:
  void SetUp() override;
  void TearDown() override;

  /// Connects \p Count callers and runs until they have sent all or were cut
  /// off, or the time is over.
  void runCrowd(int Count, HostilePlan Plan,
                std::chrono::seconds Duration = std::chrono::seconds(8));
  /// Checks that the process lives, stayed within its memory and descriptors,
  /// and answers an ordinary request while the crowd is connected.
  void expectSound();
  /// Returns the status of an ordinary request; 0 without a response.
  int sendOrdinary(const std::string &Body = {});
  /// Returns the start of a request, up to its header fields.
  static std::string requestStart(const std::string &Method,
                                  const std::string &Target = "/plain/a");

  /// `memory_mb` of the entry, small so that a small crowd suffices. An entry
  /// without callers needs about a quarter of it.
  int m_MemoryMb = 40;
  /// `max_open_files` of the entry; three fifths of it are for callers.
  std::size_t m_MaxOpenFiles = 600;
  std::size_t m_MaxBodyBytes = MiB;
  boost::asio::io_context m_Loop{1};
  StandinServer m_Server{m_Loop, "i-0", "svc"};

private:
  void publish();
  bool isReady();
  /// Runs the stand-ins until \p Done holds or \p Limit has passed.
  template <typename Predicate>
  bool runUntil(Predicate Done, std::chrono::seconds Limit);
  void measure();

  StandinStore m_Store{m_Loop};
  std::unique_ptr<ChildProcess> m_Entry;
  std::string m_CallerAddress;
  std::string m_ReadyAddress;
  HostilePlan m_Plan;
  std::vector<HostileClient> m_Crowd;
  std::size_t m_LargestMemory = 0;
  std::size_t m_MostDescriptors = 0;
  std::size_t m_IdleMemory = 0;
};

} // namespace corneldeck::tests

#endif
