// Case 15: one caller outside the operators' control holds all places of an
// entry with requests whose bodies do not end.
#include "Standins.h"

using namespace review;

namespace {

constexpr int Holders = 4;
constexpr int ConnectionsPerHolder = 560;
constexpr int OrdinaryCallers = 10;
/// stable-window-ms of the small deployments, in seconds.
constexpr double StableWindow = 3;
constexpr double Length = 12;

/// Opens connections, sends the head of a request and one byte of its body on
/// each, and opens those again that the entry closes. Ends with its parent.
[[noreturn]] void hold(const std::string &Address, int Holder, double For) {
  const std::string Start =
      requestHead("POST", "/view/upload", "held-" + std::to_string(Holder),
                  8000) +
      "Content-Length: 100\r\n\r\nx";
  std::vector<pollfd> Open;
  const double End = seconds() + For;
  while (seconds() < End && ::getppid() != 1) {
    for (int Count = 0; Count < 50 && Open.size() < ConnectionsPerHolder;
         ++Count) {
      const int Socket = connectTo(Address, 0.2, "127.0.0.99");
      if (Socket < 0)
        break;
      sendAll(Socket, Start);
      Open.push_back({Socket, POLLIN, 0});
    }
    ::poll(Open.data(), Open.size(), 20);
    std::erase_if(Open, [](pollfd &Each) {
      if (Each.revents == 0)
        return false;
      char Bytes[4096];
      if (::recv(Each.fd, Bytes, sizeof(Bytes), 0) > 0)
        return false;
      ::close(Each.fd);
      return true;
    });
    sleepFor(0.02);
  }
  ::_exit(0);
}

struct Attempt {
  double m_At = 0;
  int m_Caller = 0;
  std::string m_Result;
};

} // namespace

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record::open(Arguments[3]);
  Store Log;
  Server Backend("i-1", "app");
  Log.put("keyed.op", "config",
          configuration(1, route("view", "/view/", "idempotent", "app"),
                        R"({"name":"app","max-connections":110})"));
  Log.put("keyed.servers", Backend.id(), Backend.record());
  Entry Node(Arguments[1], Arguments[2], "edge-1", Log);
  Node.waitUntilReady();
  sleepFor(0.5);
  std::vector<pid_t> Processes;
  if (hasTrouble())
    for (int Holder = 0; Holder < Holders; ++Holder) {
      const pid_t Process = ::fork();
      if (Process == 0)
        hold(Node.caller(), Holder, Length + 10);
      Processes.push_back(Process);
    }
  Record::line("%d connections of one caller at 127.0.0.99, each with a "
               "request whose body does not end",
               hasTrouble() ? Holders * ConnectionsPerHolder : 0);
  sleepFor(4);
  std::mutex Lock;
  std::vector<Attempt> Attempts;
  std::vector<std::thread> Callers;
  const double Begin = seconds();
  for (int Caller = 0; Caller < OrdinaryCallers; ++Caller)
    Callers.emplace_back([&, Caller] {
      int Number = 0;
      while (seconds() < Begin + Length) {
        const double At = seconds();
        const std::string Id = "ordinary-" + std::to_string(Caller) + "-" +
                               std::to_string(++Number);
        std::string Result = "no connection";
        const int Socket = connectTo(Node.caller(), 1,
                                     "127.0.0." + std::to_string(11 + Caller));
        if (Socket >= 0) {
          sendAll(Socket, requestHead("GET", "/view/1", Id) + "\r\n");
          Reader Input(Socket);
          const auto Answer = Input.read(true, 4);
          Result = Answer ? std::to_string(Answer->status())
                          : "closed without an answer";
          ::close(Socket);
        }
        Record::line("caller %d: %s: %s", Caller, Id.c_str(), Result.c_str());
        {
          const std::lock_guard Guard(Lock);
          Attempts.push_back({At, Caller, Result});
        }
        sleepFor(0.5);
      }
    });
  bool IsAlwaysReady = true;
  while (seconds() < Begin + Length) {
    IsAlwaysReady = Node.isReady() && IsAlwaysReady;
    sleepFor(0.5);
  }
  for (std::thread &Each : Callers)
    Each.join();
  const bool IsRunning = Node.isRunning();
  // The longest time in which the entry took no connection while seven callers
  // or more tried.
  double Longest = 0;
  for (const Attempt &From : Attempts)
    for (double To = From.m_At; To <= Begin + Length; To += 0.5) {
      std::map<int, int> Tried;
      bool IsAnyServed = false;
      for (const Attempt &Each : Attempts)
        if (Each.m_At >= From.m_At && Each.m_At <= To) {
          ++Tried[Each.m_Caller];
          IsAnyServed = IsAnyServed || Each.m_Result == "200";
        }
      if (!IsAnyServed && Tried.size() >= 7)
        Longest = std::max(Longest, To - From.m_At);
    }
  std::map<std::string, int> Results;
  for (const Attempt &Each : Attempts)
    ++Results[Each.m_Result];
  for (const auto &[Result, Count] : Results)
    Record::line("%d attempts of ordinary callers: %s", Count, Result.c_str());
  Record::line("the entry %s, %s; longest time without one served caller, with "
               "seven callers or more: %.1f s",
               IsRunning ? "runs" : "has ended",
               IsAlwaysReady ? "said all the while that it is ready"
                             : "did not always say that it is ready",
               Longest);
  const bool IsBroken = Longest > StableWindow && IsAlwaysReady;
  Record::line(IsBroken ? "BROKEN (RECOVER)" : "held");
  for (const pid_t Each : Processes) {
    ::kill(Each, SIGKILL);
    ::waitpid(Each, nullptr, 0);
  }
  Node.end();
  return IsBroken ? 1 : 0;
}
