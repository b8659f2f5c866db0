// Ordinary callers send requests, while a crowd of other callers sends requests
// whose heads are long, each on one connection and one at a time. Their heads
// stay within the limits. "paths": a path of slashes, which no route matches;
// "fields": many fields beside a long Connection field, on a public route.

#include "World.h"

#include <cstdlib>
#include <iostream>
#include <sys/socket.h>

using namespace review;

namespace {

constexpr auto Duration = std::chrono::seconds(30);
constexpr int Entries = 2;
constexpr int OrdinaryCallers = 8;
/// As the site's kinds of request on status-api.
constexpr int TimeoutMs = 2000;
constexpr int DeadlineMs = 4000;
constexpr long SlackMs = 500;
constexpr int CrowdPerEntry = 300;
constexpr int Fields = 1500;
constexpr int Elements = 4000;
/// The head stays within max-header-bytes, 16384.
constexpr std::size_t PathBytes = 15900;
/// Routes of a small site beside the one in use, and as many as a site grows by
/// at once (big_config).
constexpr int IdleRoutes = 8;
constexpr int FurtherRoutes = 350;

struct Tally {
  int m_Asked = 0;
  int m_Answered = 0;
};

struct Sent {
  std::string m_Id;
  long m_At = 0;
  /// Time from the last byte of the request to the answer; the deadline if
  /// there was none.
  long m_Ms = DeadlineMs;
  int m_Status = 0;
};

/// One request after the other, each on a new connection. Waits for the answer
/// until the deadline.
void runRequests(int Number, const World &System, Clock::time_point End,
                 Record &Log, std::vector<Sent> &Results) {
  for (int Count = 0; Clock::now() < End; ++Count) {
    Sent Each;
    Each.m_Id = "c" + std::to_string(Number) + "-" + std::to_string(Count);
    const EntryAddresses &To =
        System.m_Entries[static_cast<std::size_t>(Number + Count) % Entries];
    Socket Connection;
    std::string Rest;
    if (Connection.connect(To.m_Ingress, Millis(1000)) &&
        Connection.sendAll("GET /app/status HTTP/1.1\r\nHost: ficu95.example"
                           "\r\nAttempt-Id: " +
                               Each.m_Id + "\r\nDeadline-Ms: " +
                               std::to_string(DeadlineMs) + "\r\n\r\n",
                           Millis(1000))) {
      Each.m_At = Log.now();
      const Response Got = readResponse(Connection, Rest, Millis(DeadlineMs));
      Each.m_Status = Got.m_IsComplete ? Got.m_Status : 0;
      if (Each.m_Status != 0)
        Each.m_Ms = Log.now() - Each.m_At;
      Log.line("ordinary " + Each.m_Id + " sent at " +
               std::to_string(Each.m_At) + " ms: " +
               (Each.m_Status != 0
                    ? "status " + std::to_string(Each.m_Status) + " after " +
                          std::to_string(Each.m_Ms) + " ms"
                    : "no answer until the deadline (" + Got.m_End + ")"));
      Results.push_back(Each);
    } else {
      Log.line("ordinary " + Each.m_Id + ": no connection");
    }
    std::this_thread::sleep_for(Millis(250));
  }
}

/// Asks each entry whether it is ready, as the platform does once a second.
void askReadiness(const World &System, Clock::time_point End, Record &Log,
                  Tally &Result) {
  while (Clock::now() < End) {
    for (const EntryAddresses &Each : System.m_Entries) {
      Socket To;
      std::string Rest;
      int Status = 0;
      if (To.connect(Each.m_Ready, Millis(1000)) &&
          To.sendAll("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", Millis(1000)))
        Status = readResponse(To, Rest, Millis(1000)).m_Status;
      ++Result.m_Asked;
      Result.m_Answered += Status == 200;
      if (Status != 200)
        Log.line("/readyz of " + Each.m_Ready + ": status " +
                 std::to_string(Status));
    }
    std::this_thread::sleep_for(Millis(1000));
  }
}

std::string longPath() {
  return "GET " + std::string(PathBytes, '/') +
         " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: x\r\n"
         "Deadline-Ms: 4000\r\n\r\n";
}

std::string manyFields() {
  std::string Request =
      "GET /app/crowd HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: x\r\n"
      "Deadline-Ms: 4000\r\n";
  for (int Index = 0; Index < Fields; ++Index)
    Request += "a:b\r\n";
  Request += "Connection: ";
  for (int Index = 0; Index < Elements; ++Index)
    Request += "x,";
  return Request + "y\r\n\r\n";
}

/// Sends one request after the other on each of \p Size connections to each
/// entry; each waits for its answer before it sends the next.
void runCrowd(const std::vector<std::string> &Addresses,
              const std::string &Request, Clock::time_point End, Record &Log) {
  struct Member {
    Socket m_Connection;
    std::string m_Address;
    std::size_t m_Sent = 0;
  };
  std::vector<Member> Crowd;
  for (int Index = 0; Index < CrowdPerEntry; ++Index)
    for (const std::string &Address : Addresses)
      Crowd.push_back({Socket(), Address});
  long Answered = 0;
  std::size_t Bytes = 0;
  while (Clock::now() < End) {
    int Opened = 0;
    for (Member &Each : Crowd) {
      Socket &Connection = Each.m_Connection;
      // At most 50 new ones in a round of 10 ms.
      if (Connection.handle() < 0) {
        if (++Opened > 50 || !Connection.connect(Each.m_Address, Millis(100))) {
          Connection.close();
          continue;
        }
        Each.m_Sent = 0;
      }
      if (Each.m_Sent < Request.size()) {
        const ssize_t Count =
            ::send(Connection.handle(), Request.data() + Each.m_Sent,
                   Request.size() - Each.m_Sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (Count > 0) {
          Each.m_Sent += static_cast<std::size_t>(Count);
          Bytes += static_cast<std::size_t>(Count);
        }
      }
      char Answer[4096];
      const ssize_t Count =
          ::recv(Connection.handle(), Answer, sizeof(Answer), MSG_DONTWAIT);
      if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
        Connection.close();
      } else if (Count > 0) {
        ++Answered;
        Each.m_Sent = 0;
      }
    }
    std::this_thread::sleep_for(Millis(10));
  }
  Log.line("the crowd got " + std::to_string(Answered) + " answers and sent " +
           std::to_string(Bytes / 1024) + " KiB");
}

} // namespace

int main(int, char **Arguments) {
  const std::string Folder = Arguments[1];
  const bool HasLongPaths = std::string(Arguments[3]) == "paths";
  raiseDescriptors();
  Record Log(Folder + "/record.txt");
  World System(Log, Arguments[2]);
  Replica First(Log, "i-1", "app", System.ip());
  Replica Second(Log, "i-2", "app", System.ip());
  for (const Replica *Each : {&First, &Second})
    System.put("keyed.servers", Each->id(), Each->record());
  System.publish({{"app", "idempotent"}},
                 HasLongPaths ? IdleRoutes + FurtherRoutes : IdleRoutes,
                 TimeoutMs);
  for (int Index = 0; Index < Entries; ++Index)
    System.startEntry({});
  if (!System.awaitReady(Millis(20000))) {
    Log.line("the entries aren't ready");
    return 2;
  }
  std::this_thread::sleep_for(Millis(3500));
  const auto End = Clock::now() + Duration;
  std::vector<std::vector<Sent>> Results(OrdinaryCallers);
  Tally Readiness;
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < OrdinaryCallers; ++Number)
    Threads.emplace_back(runRequests, Number, std::cref(System), End,
                         std::ref(Log),
                         std::ref(Results[static_cast<std::size_t>(Number)]));
  Threads.emplace_back(askReadiness, std::cref(System), End, std::ref(Log),
                       std::ref(Readiness));
  if (hasTrouble()) {
    std::vector<std::string> Targets;
    for (const EntryAddresses &Each : System.m_Entries)
      Targets.push_back(Each.m_Ingress);
    Threads.emplace_back(runCrowd, Targets,
                         HasLongPaths ? longPath() : manyFields(), End,
                         std::ref(Log));
  }
  for (std::thread &Each : Threads)
    Each.join();
  std::map<std::string, bool> Runs;
  for (const Replica *Server : {&First, &Second})
    for (const Run &Each : Server->runs())
      Runs[Each.m_Id] = Each.m_IsAnswered;
  int All = 0;
  int Answered = 0;
  int OverTimeout = 0;
  int Unanswered = 0;
  int Ran = 0;
  for (const auto &Of : Results)
    for (const Sent &Each : Of) {
      ++All;
      Answered += Each.m_Status != 0;
      OverTimeout += Each.m_Ms > TimeoutMs;
      if (Each.m_Ms <= TimeoutMs + SlackMs)
        continue;
      ++Unanswered;
      Ran += Runs.contains(Each.m_Id);
      Log.line("CONFIG: " + Each.m_Id + " has no answer " +
               std::to_string(SlackMs) + " ms after its route's timeout" +
               (Runs.contains(Each.m_Id) ? "; a replica ran it" : ""));
    }
  const std::string Summary =
      std::to_string(All) + " requests of ordinary callers, " +
      std::to_string(Answered) + " answered at all; " +
      std::to_string(OverTimeout) + " still unanswered at their route's " +
      std::to_string(TimeoutMs) + " ms, " + std::to_string(Unanswered) +
      " half a second later, of which replicas ran " + std::to_string(Ran) +
      "; /readyz answered 200 " + std::to_string(Readiness.m_Answered) +
      " of " + std::to_string(Readiness.m_Asked) + " times";
  Log.line(Summary);
  std::cout << Summary << '\n';
  for (const auto &Each : System.m_Processes)
    if (!Each->isRunning()) {
      Log.line("an entry " + Each->end());
      std::cout << "an entry " << Each->end() << '\n';
    }
  if (All < 16)
    return 2;
  // Both sentences of the rule, whichever is the milder.
  return Unanswered >= 8 && Unanswered * 2 > OverTimeout &&
                 OverTimeout * 4 > All
             ? 1
             : 0;
}
