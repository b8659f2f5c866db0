// Ordinary callers upload bodies within the limits on kept connections, while a
// crowd of other callers begins uploads and never ends them.

#include "World.h"

#include <cstdlib>
#include <iostream>
#include <poll.h>
#include <set>

using namespace review;

namespace {

constexpr int OrdinaryCallers = 6;
constexpr std::size_t OrdinaryBytes = 2 * 1024 * 1024;
constexpr int CrowdSize = 1900;
constexpr std::size_t CrowdBytes = 60 * 1024;
constexpr int WorkMs = 2500;
constexpr auto Duration = std::chrono::seconds(40);

struct Sent {
  std::string m_Id;
  long m_At = 0;
  Response m_Answer;
  bool m_IsWhole = false;
};

/// Uploads one body after the other on a kept connection.
void runOrdinary(int Number, const std::string &Address, Clock::time_point End,
                 Record &Log, std::vector<Sent> &Results) {
  Socket Connection;
  std::string Rest;
  bool IsOpen = false;
  for (int Count = 0; Clock::now() < End; ++Count) {
    const std::string Caller = "c" + std::to_string(Number);
    if (!IsOpen) {
      Rest.clear();
      // The first request makes it a kept connection.
      IsOpen =
          Connection.connect(Address, Millis(1000)) &&
          Connection.sendAll("GET /app/small HTTP/1.1\r\n"
                             "Host: ficu95.example\r\nAttempt-Id: " +
                                 Caller + "-small-" + std::to_string(Count) +
                                 "\r\nDeadline-Ms: 4000\r\n\r\n",
                             Millis(1000)) &&
          readResponse(Connection, Rest, Millis(4000)).m_Status == 200;
      if (!IsOpen) {
        std::this_thread::sleep_for(Millis(300));
        continue;
      }
    }
    Sent Each;
    Each.m_Id = Caller + "-upload-" + std::to_string(Count);
    Each.m_At = Log.now();
    Each.m_IsWhole = Connection.sendAll(
        "POST /app/upload HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " +
            Each.m_Id + "\r\nDeadline-Ms: 8000\r\nContent-Length: " +
            std::to_string(OrdinaryBytes) + "\r\n\r\n" +
            std::string(OrdinaryBytes, 'o'),
        Millis(8000));
    Each.m_Answer = readResponse(Connection, Rest, Millis(8500));
    Log.line("ordinary " + Each.m_Id + " sent at " + std::to_string(Each.m_At) +
             " ms: " +
             (Each.m_Answer.m_Status == 0
                  ? "no answer, connection " + Each.m_Answer.m_End
                  : "status " + std::to_string(Each.m_Answer.m_Status) + ", " +
                        Each.m_Answer.m_End));
    IsOpen = Each.m_Answer.m_IsComplete &&
             Each.m_Answer.m_Headers["connection"] != "close";
    Results.push_back(std::move(Each));
  }
}

/// Callers that begin a body and stop short of its end; one that is cut off
/// comes back.
void runCrowd(const std::string &Address, Clock::time_point End, Record &Log) {
  const std::string Begin =
      "POST /app/slow HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: x\r\n"
      "Deadline-Ms: 8000\r\nContent-Length: 4194304\r\n\r\n" +
      std::string(CrowdBytes, 'x');
  std::vector<std::pair<Socket, std::size_t>> Crowd(CrowdSize);
  long Cut = 0;
  while (Clock::now() < End) {
    std::size_t Opened = 0;
    for (auto &[Connection, Done] : Crowd) {
      if (Connection.handle() < 0) {
        // A few at a time, as callers come.
        if (++Opened > 20 || !Connection.connect(Address, Millis(1000))) {
          Connection.close();
          continue;
        }
        Done = 0;
      }
      char Byte = 0;
      const ssize_t Count = ::recv(Connection.handle(), &Byte, 1, MSG_DONTWAIT);
      if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
        Connection.close();
        ++Cut;
        continue;
      }
      if (Done < Begin.size()) {
        const ssize_t Now =
            ::send(Connection.handle(), Begin.data() + Done,
                   Begin.size() - Done, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (Now > 0)
          Done += static_cast<std::size_t>(Now);
      }
    }
    std::this_thread::sleep_for(Millis(20));
  }
  Log.line("the crowd was cut off " + std::to_string(Cut) + " times");
}

} // namespace

int main(int, char **Arguments) {
  const std::string Folder = Arguments[1];
  const bool Trouble = hasTrouble();
  raiseDescriptors();
  Record Log(Folder + "/record.txt");
  World System(Log, Arguments[2]);
  Replica First(Log, "i-1", "app", System.ip());
  Replica Second(Log, "i-2", "app", System.ip());
  for (const Replica *Each : {&First, &Second})
    System.put("keyed.servers", Each->id(), Each->record());
  System.publish({{"app", "non_idempotent"}});
  System.startEntry({});
  if (!System.awaitReady(Millis(20000))) {
    Log.line("the entry isn't ready");
    return 2;
  }
  const std::string Address = System.m_Entries[0].m_Ingress;
  First.m_WorkMs = WorkMs;
  Second.m_WorkMs = WorkMs;
  // Time for the machine to count as in touch.
  std::this_thread::sleep_for(Millis(3500));
  const auto End = Clock::now() + Duration;
  std::vector<std::vector<Sent>> Results(OrdinaryCallers);
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < OrdinaryCallers; ++Number)
    Threads.emplace_back(runOrdinary, Number, Address, End, std::ref(Log),
                         std::ref(Results[static_cast<std::size_t>(Number)]));
  if (Trouble)
    Threads.emplace_back(runCrowd, Address, End - std::chrono::seconds(3),
                         std::ref(Log));
  for (int Second = 0; Clock::now() < End; ++Second) {
    std::this_thread::sleep_for(Millis(1000));
    Log.line("entry: " +
             std::to_string(residentBytes(System.m_Processes[0]->id()) / 1024) +
             " KiB resident");
  }
  for (std::thread &Each : Threads)
    Each.join();
  std::set<std::string> PassedOn;
  for (const Replica *Server : {&First, &Second})
    for (const Run &Each : Server->runs()) {
      PassedOn.insert(Each.m_Id);
      Log.line("replica " + Server->id() + " ran " + Each.m_Id + " (" +
               std::to_string(Each.m_Bytes) + " bytes) from " +
               std::to_string(Each.m_At) + " ms on, " +
               (Each.m_IsAnswered ? "answered"
                                  : "dropped: its connection was "
                                    "closed"));
    }
  int Uploads = 0;
  int Answered = 0;
  int Lost = 0;
  for (const auto &Of : Results)
    for (const Sent &Each : Of) {
      ++Uploads;
      Answered += Each.m_Answer.m_Status == 200 && Each.m_Answer.m_IsComplete;
      // Passed on to a sound replica, and its connection closed without an
      // answer.
      if (Each.m_Answer.m_Status == 0 && Each.m_Answer.m_End != "timeout" &&
          PassedOn.contains(Each.m_Id)) {
        ++Lost;
        Log.line("LOST: " + Each.m_Id +
                 " was passed on to a replica, and its "
                 "connection was closed without an "
                 "answer");
      }
    }
  const std::string Summary =
      std::to_string(Uploads) + " uploads of ordinary callers, " +
      std::to_string(Answered) + " answered with 200, " + std::to_string(Lost) +
      " passed on and cut off without an answer" +
      (System.m_Processes[0]->isRunning() ? "" : "; the entry has ended");
  Log.line(Summary);
  std::cout << Summary << '\n';
  if (Uploads < 10)
    return 2;
  return Lost > 3 ? 1 : 0;
}
