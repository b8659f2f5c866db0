#include "World.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <future>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

sockaddr_in parse(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in Parsed{};
  Parsed.sin_family = AF_INET;
  Parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed.sin_addr);
  return Parsed;
}

long millisUntil(Clock::time_point Due) {
  return std::max(
      0L, static_cast<long>(
              std::chrono::duration_cast<Millis>(Due - Clock::now()).count()));
}

std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Text;
}

} // namespace

Record::Record(const std::string &Path) : m_File(Path) {}

long Record::now() const {
  return static_cast<long>(
      std::chrono::duration_cast<Millis>(Clock::now() - m_Start).count());
}

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(m_Mutex);
  m_File << now() << " ms  " << Text << '\n' << std::flush;
}

Socket::Socket(Socket &&Other) noexcept
    : m_Handle(std::exchange(Other.m_Handle, -1)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  if (this != &Other) {
    close();
    m_Handle = std::exchange(Other.m_Handle, -1);
  }
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (m_Handle >= 0)
    ::close(m_Handle);
  m_Handle = -1;
}

void Socket::reset() {
  const linger Now{1, 0};
  if (m_Handle >= 0)
    ::setsockopt(m_Handle, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  close();
}

bool Socket::connect(const std::string &Address, Millis Timeout) {
  close();
  m_Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in To = parse(Address);
  const int One = 1;
  ::setsockopt(m_Handle, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  if (::connect(m_Handle, reinterpret_cast<const sockaddr *>(&To),
                sizeof(To)) == 0)
    return true;
  if (errno != EINPROGRESS)
    return false;
  pollfd Wait{m_Handle, POLLOUT, 0};
  if (::poll(&Wait, 1, static_cast<int>(Timeout.count())) != 1)
    return false;
  int Problem = 0;
  socklen_t Size = sizeof(Problem);
  ::getsockopt(m_Handle, SOL_SOCKET, SO_ERROR, &Problem, &Size);
  return Problem == 0;
}

bool Socket::sendAll(const std::string &Bytes, Millis Timeout) {
  const auto Due = Clock::now() + Timeout;
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count = ::send(m_Handle, Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      return false;
    pollfd Wait{m_Handle, POLLOUT, 0};
    if (::poll(&Wait, 1, static_cast<int>(millisUntil(Due))) != 1)
      return false;
  }
  return true;
}

long Socket::read(std::string &Into, Millis Timeout) {
  pollfd Wait{m_Handle, POLLIN, 0};
  if (::poll(&Wait, 1, static_cast<int>(Timeout.count())) != 1)
    return -2;
  char Buffer[65536];
  const ssize_t Count = ::recv(m_Handle, Buffer, sizeof(Buffer), 0);
  if (Count > 0)
    Into.append(Buffer, static_cast<std::size_t>(Count));
  else if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return -2;
  return Count;
}

Response readResponse(Socket &From, std::string &Rest, Millis Timeout) {
  const auto Due = Clock::now() + Timeout;
  Response Read;
  const auto More = [&] {
    const long Count = From.read(Rest, Millis(millisUntil(Due)));
    if (Count > 0)
      return true;
    Read.m_End = Count == 0 ? "closed" : Count == -2 ? "timeout" : "reset";
    return false;
  };
  std::size_t End = 0;
  do {
    Read.m_Status = 0;
    Read.m_Headers.clear();
    while ((End = Rest.find("\r\n\r\n")) == std::string::npos)
      if (!More())
        return Read;
    std::istringstream Lines(Rest.substr(0, End + 2));
    std::string Line;
    std::getline(Lines, Line);
    const int Status = std::atoi(Line.substr(Line.find(' ') + 1).c_str());
    while (std::getline(Lines, Line)) {
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Value = Line.substr(Colon + 1);
      while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
        Value.pop_back();
      Value.erase(0, Value.find_first_not_of(' '));
      Read.m_Headers[lower(Line.substr(0, Colon))] = Value;
    }
    Rest.erase(0, End + 4);
    Read.m_Status = Status;
  } while (Read.m_Status < 200);
  if (Read.m_Headers.contains("content-length")) {
    const std::size_t Length = std::stoul(Read.m_Headers["content-length"]);
    while (Rest.size() < Length)
      if (!More())
        return Read;
    Read.m_Body = Rest.substr(0, Length);
    Rest.erase(0, Length);
  } else if (lower(Read.m_Headers["transfer-encoding"]) == "chunked") {
    while (true) {
      std::size_t Line = 0;
      while ((Line = Rest.find("\r\n")) == std::string::npos)
        if (!More())
          return Read;
      const std::size_t Size = std::stoul(Rest.substr(0, Line), nullptr, 16);
      while (Rest.size() < Line + 2 + Size + 2)
        if (!More())
          return Read;
      Read.m_Body += Rest.substr(Line + 2, Size);
      Rest.erase(0, Line + 2 + Size + 2);
      if (Size == 0)
        break;
    }
  } else {
    while (More()) {
    }
    if (Read.m_End != "closed")
      return Read;
    Read.m_Body = std::exchange(Rest, {});
  }
  Read.m_IsComplete = true;
  Read.m_End = "ok";
  return Read;
}

Replica::Replica(Record &Log, std::string Id, std::string Service,
                 std::string Ip)
    : m_Log(Log), m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Address(freeAddress(Ip)) {
  m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in At = parse(m_Address);
  if (::bind(m_Listener, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) !=
          0 ||
      ::listen(m_Listener, 256) != 0)
    std::exit(2);
  m_Accepting = std::thread([this] {
    while (!m_Stopped) {
      const int Handle =
          ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (Handle < 0)
        continue;
      const std::lock_guard Lock(m_Mutex);
      m_Open.push_back(Handle);
      m_Threads.emplace_back([this, Handle] { serve(Handle); });
    }
  });
}

Replica::~Replica() {
  m_Stopped = true;
  ::shutdown(m_Listener, SHUT_RDWR);
  m_Accepting.join();
  ::close(m_Listener);
  {
    const std::lock_guard Lock(m_Mutex);
    for (const int Each : m_Open)
      ::shutdown(Each, SHUT_RDWR);
  }
  for (std::thread &Each : m_Threads)
    Each.join();
}

std::string Replica::record() const {
  return json{{"backend", m_Service},
              {"address", m_Address},
              {"zone", "a"},
              {"version", 1},
              {"capacity", 12},
              {"lifecycle-state", "ready"},
              {"warmup-remaining-ms", 0},
              {"sequence", 1},
              {"born", 1}}
      .dump();
}

std::vector<Run> Replica::runs() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs;
}

void Replica::serve(int Handle) {
  Socket Connection(Handle);
  std::string In;
  while (!m_Stopped) {
    std::size_t End = 0;
    while ((End = In.find("\r\n\r\n")) == std::string::npos) {
      const long Count = Connection.read(In, Millis(500));
      if (m_Stopped || Count == 0 || Count == -1)
        goto ended;
    }
    {
      std::map<std::string, std::string> Headers;
      std::istringstream Lines(In.substr(0, End + 2));
      std::string Line;
      std::getline(Lines, Line);
      while (std::getline(Lines, Line)) {
        const std::size_t Colon = Line.find(':');
        std::string Value = Line.substr(Colon + 1);
        while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
          Value.pop_back();
        Value.erase(0, Value.find_first_not_of(' '));
        Headers[lower(Line.substr(0, Colon))] = Value;
      }
      In.erase(0, End + 4);
      const std::string Length = Headers["content-length"];
      const std::size_t Wanted = Length.empty() ? 0 : std::stoul(Length);
      while (In.size() < Wanted) {
        const long Count = Connection.read(In, Millis(500));
        if (m_Stopped || Count == 0 || Count == -1)
          goto ended;
      }
      In.erase(0, Wanted);
      const std::string Id = Headers["attempt-id"];
      const std::string Expected = Headers["expected-instance"];
      if (!Expected.empty() && Expected != m_Id) {
        if (!Connection.sendAll("HTTP/1.1 421 X\r\nAttempt-Id: " + Id +
                                    "\r\nNot-Executed: 1\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                Millis(2000)))
          goto ended;
        continue;
      }
      std::size_t Index = 0;
      {
        const std::lock_guard Lock(m_Mutex);
        Index = m_Runs.size();
        m_Runs.push_back({Id, m_Log.now(), Wanted, false});
      }
      const auto Due = Clock::now() + Millis(m_WorkMs);
      bool IsGone = false;
      while (Clock::now() < Due && !m_Stopped && !IsGone) {
        // A replica drops a request when its connection closes.
        pollfd Wait{Handle, POLLRDHUP, 0};
        ::poll(&Wait, 1, static_cast<int>(std::min(millisUntil(Due), 50L)));
        IsGone = (Wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      }
      if (IsGone || m_Stopped)
        goto ended;
      const std::string Body = "done " + Id + "\n";
      if (!Connection.sendAll(
              "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                  "\r\nResponse-Signature: " + m_Id + "." + Id +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body,
              Millis(2000)))
        goto ended;
      const std::lock_guard Lock(m_Mutex);
      m_Runs[Index].m_IsAnswered = true;
    }
  }
ended:
  const std::lock_guard Lock(m_Mutex);
  std::erase(m_Open, Handle);
}

Process::Process(std::vector<std::string> Words, std::string Settings,
                 std::string Log) {
  m_Id = ::fork();
  if (m_Id != 0)
    return;
  // It does not outlive the case, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  // Listening sockets of stand-ins would stay open in it.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  // As the deploy page says, with the path of the settings and no more.
  const std::string File = "CORNELDECK_NODE_FILE=" + Settings;
  const char *Path = ::getenv("PATH");
  const std::string Programs = std::string("PATH=") + (Path ? Path : "");
  std::vector<char *> Arguments;
  for (const std::string &Each : Words)
    Arguments.push_back(const_cast<char *>(Each.c_str()));
  Arguments.push_back(nullptr);
  char *const Environment[] = {const_cast<char *>(File.c_str()),
                               const_cast<char *>(Programs.c_str()), nullptr};
  ::execve(Arguments[0], Arguments.data(), Environment);
  ::_exit(127);
}

bool Process::isRunning() {
  if (m_Id <= 0)
    return false;
  int Status = 0;
  if (::waitpid(m_Id, &Status, WNOHANG) == 0)
    return true;
  m_End = WIFSIGNALED(Status)
              ? "ended by signal " + std::to_string(WTERMSIG(Status))
              : "ended with code " + std::to_string(WEXITSTATUS(Status));
  m_Id = -1;
  return false;
}

void Process::signal(int Number) {
  if (isRunning())
    ::kill(m_Id, Number);
}

Process::~Process() {
  if (!isRunning())
    return;
  ::kill(m_Id, SIGKILL);
  ::waitpid(m_Id, nullptr, 0);
}

World::World(Record &Log, const std::string &Folder)
    : m_Log(Log), m_Folder(Folder), m_Work(m_Loop.get_executor()) {
  const int Own = ::getpid();
  m_Ip = "127." + std::to_string(1 + Own / 250 % 250) + "." +
         std::to_string(1 + Own % 250) + ".2";
  m_Store = std::make_unique<corneldeck::tests::StandinStore>(m_Loop);
  m_StoreAddress = m_Store->listen();
  m_Thread = std::thread([this] { m_Loop.run(); });
}

World::~World() {
  m_Processes.clear();
  m_Work.reset();
  m_Loop.stop();
  m_Thread.join();
}

void World::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  runInLoop([&] { putInLoop(Topic, Key, Value); });
}

void World::putInLoop(const std::string &Topic, const std::string &Key,
                      const std::string &Value) {
  m_Store->put(Topic, Key, Value);
}

void World::runInLoop(const std::function<void()> &Do) {
  std::promise<void> Done;
  boost::asio::post(m_Loop, [&] {
    Do();
    Done.set_value();
  });
  Done.get_future().wait();
}

void World::publish(const std::map<std::string, std::string> &TypeByService,
                    int FurtherRoutes, int TimeoutMs) {
  json Routes = json::array();
  json Services = json::array();
  for (const auto &[Service, Type] : TypeByService) {
    Routes.push_back({{"name", "r-" + Service},
                      {"hostname", "ficu95.example"},
                      {"path-prefix", "/" + Service + "/"},
                      {"type", Type},
                      {"timeout-ms", TimeoutMs},
                      {"target-latency-ms", 4000},
                      {"priority", 1},
                      {"backend", Service},
                      {"max-attempts", 2},
                      {"public", true}});
    Services.push_back({{"name", Service},
                        {"health-check-path", "/healthz"},
                        {"max-connections", 358},
                        {"protocol", "h1"},
                        {"tls-enabled", false}});
  }
  for (int Index = 0; Index < FurtherRoutes; ++Index) {
    json Route = Routes[0];
    Route["name"] = "r-further-" + std::to_string(Index);
    Route["path-prefix"] = "/further" + std::to_string(Index) + "/";
    Routes.push_back(Route);
  }
  put("keyed.op", "config",
      json{{"version", 7},
           {"routes", Routes},
           {"backends", Services},
           {"limits",
            {{"max-header-bytes", 16384},
             {"max-body-bytes", 4194304},
             {"header-timeout-ms", 3000},
             {"idle-timeout-ms", 15000}}},
           {"tenants", json::array()}}
          .dump());
}

void World::startEntry(const Machine &Given) {
  const std::string Number = std::to_string(m_Entries.size() + 1);
  // All machines of a day use the same ports at addresses of their own.
  const std::string Ip = m_Ip.substr(0, m_Ip.rfind('.') + 1) +
                         std::to_string(10 + m_Entries.size());
  EntryAddresses Of{freeAddress(Ip), freeAddress(Ip), freeAddress(Ip)};
  static std::string PeerPort;
  static std::string Seed;
  if (PeerPort.empty()) {
    const std::string Peer = freeAddress(Ip);
    PeerPort = Peer.substr(Peer.rfind(':') + 1);
    Seed = Peer;
  }
  const std::string Settings = m_Folder + "/entry-" + Number + ".yaml";
  std::ofstream(Settings)
      << "node: \"edge-a-" << Number << "\"\nzone: \"a\"\nip: \"" << Ip
      << "\"\npeer_port: " << PeerPort << "\ncaller_address: \"" << Of.m_Ingress
      << "\"\nready_address: \"" << Of.m_Ready << "\"\ndirectory_address: \""
      << Of.m_Directory << "\"\nseeds: [\"" << Seed << "\"]\nlog: \""
      << m_StoreAddress
      << "\"\nretries:\n  ratio: 0.2\n  window_s: 10\n  extra: 94\n"
         "warm_up:\naddress_lifetime_s: 5\ngrace_period_s: 8\n"
         "max_open_files: "
      << Given.m_MaxOpenFiles << "\nmemory_mb: " << Given.m_MemoryMb
      << "\nlink_mbps: 1000\n";
  m_Processes.push_back(std::make_unique<Process>(
      std::vector<std::string>{"target/bin/corneldeck-platform-entry"},
      Settings, m_Folder + "/entry-" + Number + ".log"));
  m_Entries.push_back(Of);
  m_Log.line("entry " + Number + " started: ingress " + Of.m_Ingress +
             ", ready " + Of.m_Ready + ", directory " + Of.m_Directory);
}

bool World::awaitReady(Millis Limit) {
  const auto Due = Clock::now() + Limit;
  for (const EntryAddresses &Each : m_Entries)
    for (int Status = 0; Status != 200;) {
      if (Clock::now() > Due)
        return false;
      Socket To;
      std::string Rest;
      Status = 0;
      if (To.connect(Each.m_Ready, Millis(500)) &&
          To.sendAll("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", Millis(500)))
        Status = readResponse(To, Rest, Millis(500)).m_Status;
      if (Status != 200)
        std::this_thread::sleep_for(Millis(50));
    }
  return true;
}

std::size_t residentBytes(pid_t Id) {
  std::size_t Pages = 0;
  std::ifstream File("/proc/" + std::to_string(Id) + "/statm");
  File >> Pages >> Pages;
  return Pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t unreadBytes(const std::string &Address) {
  const sockaddr_in Wanted = parse(Address);
  char Local[32];
  std::snprintf(Local, sizeof(Local), "%08X:%04X", Wanted.sin_addr.s_addr,
                ntohs(Wanted.sin_port));
  std::ifstream Table("/proc/net/tcp");
  std::size_t Sum = 0;
  std::string Line;
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Slot, At, Remote, State, Queues;
    Fields >> Slot >> At >> Remote >> State >> Queues;
    if (At == Local && State != "0A")
      Sum += std::stoul(Queues.substr(Queues.find(':') + 1), nullptr, 16);
  }
  return Sum;
}

std::string freeAddress(const std::string &Ip) {
  const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At = parse(Ip + ":0");
  socklen_t Size = sizeof(At);
  if (::bind(Handle, reinterpret_cast<const sockaddr *>(&At), Size) != 0)
    std::exit(2);
  ::getsockname(Handle, reinterpret_cast<sockaddr *>(&At), &Size);
  ::close(Handle);
  return Ip + ":" + std::to_string(ntohs(At.sin_port));
}

void raiseDescriptors() {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = std::min<rlim_t>(Limit.rlim_max, 16384);
  // The largest crowd needs 1,900, and an entry as many for it.
  constexpr rlim_t Needed = 2500;
  if (::setrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur < Needed)
    std::exit(2);
}

bool hasTrouble() {
  const char *Given = ::getenv("TROUBLE");
  return !Given || std::string(Given) != "0";
}

} // namespace review
