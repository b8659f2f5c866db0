#include "HostileClients.h"

#include "Net/Endpoint.h"
#include "Net/HttpClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace corneldeck::tests {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

/// Multiple of the memory at which a crowd ends: the test has failed, and the
/// machine is not to run out of memory.
constexpr std::size_t StopFactor = 3;
constexpr std::chrono::milliseconds MeasureInterval{20};
/// Time in which the entry takes what the crowd has sent last.
constexpr std::chrono::milliseconds SettleTime{1500};
constexpr int HandlersPerRound = 200;
constexpr int Ok = 200;

/// Returns a loopback address of this process alone.
std::string loopbackIp() {
  constexpr int Bytes = 256;
  const int Process = ::getpid();
  return "127." + std::to_string(1 + Process / Bytes % (Bytes - 2)) + "." +
         std::to_string(Process % Bytes) + ".2";
}

std::size_t residentBytes(pid_t Process) {
  std::size_t Pages = 0;
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  File >> Pages >> Pages;
  return Pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Process) + "/fd", Ignored);
  return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
}

/// Returns the bytes that the system has received on connections accepted at
/// \p Address and that were not read.
std::size_t unreadBytes(const std::string &Address) {
  const auto Endpoint = net::parseEndpoint(Address);
  std::ostringstream Wanted;
  Wanted << std::hex << std::uppercase;
  Wanted.fill('0');
  Wanted.width(8);
  Wanted << ::htonl(Endpoint->address().to_v4().to_uint()) << ':';
  Wanted.width(4);
  Wanted << Endpoint->port();
  std::ifstream Table("/proc/net/tcp");
  std::size_t Sum = 0;
  std::string Line;
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Slot;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    Fields >> Slot >> Local >> Remote >> State >> Queues;
    constexpr int HexBase = 16;
    // Of a listening socket, the column has the connections to accept.
    if (Local == Wanted.str() && State != "0A")
      Sum += std::stoul(Queues.substr(Queues.find(':') + 1), nullptr, HexBase);
  }
  return Sum;
}

} // namespace

HostileClient::HostileClient(const std::string &Address,
                             const HostilePlan &Plan)
    : m_Plan(&Plan),
      m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  if (Plan.m_HasSmallBuffer) {
    const int Bytes = 4096;
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  const auto Endpoint = net::parseEndpoint(Address);
  // The connection is complete later.
  (void)::connect(m_Socket, Endpoint->data(),
                  static_cast<socklen_t>(Endpoint->size()));
}

HostileClient::HostileClient(HostileClient &&Other) noexcept
    : m_Plan(Other.m_Plan), m_Socket(std::exchange(Other.m_Socket, -1)),
      m_IsBroken(Other.m_IsBroken), m_Sent(Other.m_Sent),
      m_LastRead(Other.m_LastRead) {}

HostileClient::~HostileClient() {
  if (m_Socket >= 0)
    ::close(m_Socket);
}

bool HostileClient::isSending() const {
  return !m_IsBroken &&
         (m_Sent < m_Plan->m_Start.size() ||
          (!m_Plan->m_Repeat.empty() && m_Sent < m_Plan->m_MaxBytes));
}

bool HostileClient::pump() {
  if (m_IsBroken)
    return false;
  if (m_Plan->m_ReadInterval.count() > 0 &&
      Clock::now() - m_LastRead >= m_Plan->m_ReadInterval) {
    char Byte = 0;
    m_LastRead = Clock::now();
    if (::recv(m_Socket, &Byte, sizeof(Byte), 0) == 0)
      m_IsBroken = true;
  }
  if (!isSending())
    return false;
  std::string_view Piece = m_Plan->m_Start;
  std::size_t At = m_Sent;
  if (At >= Piece.size()) {
    At = (At - Piece.size()) % m_Plan->m_Repeat.size();
    Piece = m_Plan->m_Repeat;
  }
  const ssize_t Count =
      ::send(m_Socket, Piece.data() + At, Piece.size() - At, MSG_NOSIGNAL);
  if (Count < 0) {
    m_IsBroken = errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS;
    return false;
  }
  m_Sent += static_cast<std::size_t>(Count);
  return true;
}

void HostileClients::SetUp() {
  m_Server.m_Capacity = 400;
  m_Server.listen();
  m_Store.put("keyed.servers", m_Server.id(), m_Server.record());
  publish();
  const std::string Ip = loopbackIp();
  // Below the ports that the system assigns by itself.
  m_CallerAddress = Ip + ":10001";
  m_ReadyAddress = Ip + ":10002";
  const std::string Path = std::filesystem::temp_directory_path() /
                           ("corneldeck-hostile-" + std::to_string(::getpid()));
  std::ofstream(Path + ".yaml")
      << "node: entry-0\nzone: a\nip: " << Ip << "\npeer_port: 10003\n"
      << "caller_address: " << m_CallerAddress
      << "\nready_address: " << m_ReadyAddress << "\nseeds: [" << Ip
      << ":10003]\nlog: " << m_Store.listen()
      << "\nretries:\n  ratio: 0.1\n  window_s: 10\n  extra: 10\n"
      << "address_lifetime_s: 5\ngrace_period_s: 3\nlink_mbps: 100\n"
      << "max_open_files: " << m_MaxOpenFiles << "\nmemory_mb: " << m_MemoryMb
      << "\n";
  m_Entry = std::make_unique<ChildProcess>(
      std::vector<std::string>{CORNELDECK_ENTRY_PROGRAM, "--config",
                               Path + ".yaml"},
      Path + ".log");
  m_Entry->start();
  ASSERT_TRUE(runUntil([this] { return isReady(); }, std::chrono::seconds(30)));
  m_IdleMemory = residentBytes(m_Entry->id());
}

void HostileClients::TearDown() {
  std::error_code Ignored;
  const std::string Path = std::filesystem::temp_directory_path() /
                           ("corneldeck-hostile-" + std::to_string(::getpid()));
  std::filesystem::remove(Path + ".yaml", Ignored);
  std::filesystem::remove(Path + ".log", Ignored);
}

void HostileClients::publish() {
  const json Route = {{"name", "plain"},    {"hostname", "x.example"},
                      {"path-prefix", "/"}, {"type", "idempotent"},
                      {"timeout-ms", 8000}, {"target-latency-ms", 300},
                      {"priority", 1},      {"backend", "svc"},
                      {"max-attempts", 2},  {"public", true}};
  const json Config = {
      {"version", 1},
      {"routes", {Route}},
      {"backends", {{{"name", "svc"}, {"max-connections", 400}}}},
      {"limits",
       {{"max-header-bytes", 16 * KiB},
        {"max-body-bytes", m_MaxBodyBytes},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}}},
      {"tenants", json::array()}};
  m_Store.put("keyed.op", "config", Config.dump());
}

template <typename Predicate>
bool HostileClients::runUntil(Predicate Done, std::chrono::seconds Limit) {
  const auto Bound = Clock::now() + Limit;
  while (!Done()) {
    m_Loop.run_one_for(std::chrono::milliseconds(5));
    if (Clock::now() > Bound)
      return false;
  }
  return true;
}

bool HostileClients::isReady() {
  net::HttpClient Client(m_Loop);
  int Status = 0;
  Client.get(m_ReadyAddress, "/readyz", base::seconds(2),
             [&Status](const base::Result<net::HttpResponse> &Reply) {
               Status = Reply ? Reply->m_Status : -1;
             });
  runUntil([&Status] { return Status != 0; }, std::chrono::seconds(5));
  return Status == Ok;
}

int HostileClients::sendOrdinary(const std::string &Body) {
  net::HttpClient Client(m_Loop);
  net::HttpCall Call;
  Call.m_Address = m_CallerAddress;
  Call.m_Target = "/plain/ordinary";
  Call.m_Host = "x.example";
  Call.m_Headers = {{"Attempt-Id", "ordinary"}, {"Deadline-Ms", "8000"}};
  if (!Body.empty())
    Call.m_Method = "POST";
  Call.m_Body = Body;
  bool Ended = false;
  int Status = 0;
  Client.fetch(Call, [&](const base::Result<net::HttpResponse> &Reply) {
    Ended = true;
    Status = Reply ? Reply->m_Status : 0;
  });
  runUntil([&Ended] { return Ended; }, std::chrono::seconds(12));
  return Status;
}

std::string HostileClients::requestStart(const std::string &Method,
                                         const std::string &Target) {
  return Method + " " + Target +
         " HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: h\r\n"
         "Deadline-Ms: 8000\r\n";
}

void HostileClients::measure() {
  const pid_t Process = m_Entry->id();
  if (Process <= 0)
    return;
  // The platform counts what was received and not read, too.
  m_LargestMemory = std::max(m_LargestMemory, residentBytes(Process) +
                                                  unreadBytes(m_CallerAddress));
  m_MostDescriptors = std::max(m_MostDescriptors, openDescriptors(Process));
}

void HostileClients::runCrowd(int Count, HostilePlan Plan,
                              std::chrono::seconds Duration) {
  m_Plan = std::move(Plan);
  m_Crowd.reserve(static_cast<std::size_t>(Count));
  const auto End = Clock::now() + Duration;
  auto NextMeasure = Clock::now();
  auto NextConnect = Clock::now();
  auto SettledAt = Clock::now() + SettleTime;
  bool IsSending = true;
  while (Clock::now() < End && m_Entry->isRunning() &&
         (IsSending || Clock::now() < SettledAt ||
          m_Plan.m_ReadInterval.count() > 0)) {
    // Without an interval all connect first, so that they send at once.
    while (m_Crowd.size() < static_cast<std::size_t>(Count) &&
           Clock::now() >= NextConnect) {
      m_Crowd.emplace_back(m_CallerAddress, m_Plan);
      NextConnect = Clock::now() + m_Plan.m_ConnectInterval;
    }
    IsSending = m_Crowd.size() < static_cast<std::size_t>(Count);
    bool HasSent = false;
    for (HostileClient &Each : m_Crowd) {
      HasSent |= Each.pump();
      IsSending |= Each.isSending();
    }
    if (IsSending)
      SettledAt = Clock::now() + SettleTime;
    // A part of what is ready, so that the crowd goes on meanwhile.
    for (int Handler = 0; Handler < HandlersPerRound && m_Loop.poll_one() > 0;)
      ++Handler;
    if (!HasSent)
      m_Loop.run_one_for(std::chrono::milliseconds(1));
    if (Clock::now() < NextMeasure)
      continue;
    measure();
    NextMeasure = Clock::now() + MeasureInterval;
    if (m_LargestMemory >
        StopFactor * static_cast<std::size_t>(m_MemoryMb) * MiB)
      break;
  }
  measure();
}

void HostileClients::expectSound() {
  std::size_t Sent = 0;
  std::size_t Broken = 0;
  for (const HostileClient &Each : m_Crowd) {
    Sent += Each.sent();
    Broken += Each.isBroken() ? 1 : 0;
  }
  std::cout << "memory " << m_IdleMemory / KiB << " KiB at the start, at most "
            << m_LargestMemory / KiB << " KiB; at most " << m_MostDescriptors
            << " descriptors; the crowd has sent " << Sent / KiB << " KiB, "
            << Broken << " of " << m_Crowd.size() << " were cut off\n";
  EXPECT_LE(m_LargestMemory, static_cast<std::size_t>(m_MemoryMb) * MiB);
  EXPECT_LE(m_MostDescriptors, m_MaxOpenFiles);
  // A refusal may be followed by a retry, but not until the idle timeout of the
  // crowd.
  constexpr int Tries = 5;
  int Status = 0;
  for (int Try = 0; Try < Tries && Status != Ok; ++Try) {
    if (Try > 0)
      runUntil([] { return false; }, std::chrono::seconds(1));
    Status = sendOrdinary();
  }
  EXPECT_EQ(Status, Ok) << "the ordinary request";
  measure();
  EXPECT_LE(m_LargestMemory, static_cast<std::size_t>(m_MemoryMb) * MiB)
      << "with the ordinary request";
  EXPECT_TRUE(m_Entry->isRunning());
}

} // namespace corneldeck::tests
