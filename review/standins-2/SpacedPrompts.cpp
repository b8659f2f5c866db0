// One part of a prompt ends each replica that begins to answer it. The requests
// that have it write their list of parts with a space before each comma.

#include "Platform/StandinServer.h"
#include "World.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <iostream>

using namespace review;
using corneldeck::tests::StandinServer;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 4;
/// Seconds before the first request with the part, and with such requests.
constexpr int CalmSeconds = 12;
constexpr int FatalSeconds = 40;
constexpr int SoundPerSecond = 20;
constexpr int FatalPerSecond = 3;
/// Time after which an ended replica is back.
constexpr std::chrono::seconds Absence(4);
constexpr long StableWindowMs = 3000;
constexpr long DeadlineMs = 2900;
/// Longer than a request may take, so that each caller is back in time.
constexpr int SecondsPerCaller = 3;

/// Separator of the parts, and what follows the last.
struct Spelling {
  std::string m_Separator;
  std::string m_End;
};

Spelling spelling() {
  const char *Given = ::getenv("KIND");
  const std::string Kind = Given ? Given : "space";
  if (Kind == "plain")
    return {",", ""};
  if (Kind == "tab")
    return {"\t,", ""};
  if (Kind == "end")
    return {",", ","};
  return {" ,", ""};
}

struct Sent {
  long m_At = 0;
  bool m_IsFatal = false;
  bool m_HasBegun = false;
};

/// One stream on a new connection. \returns how it ended.
std::string ask(const std::string &Address, const std::string &Id,
                const std::string &Parts, bool &HasBegun) {
  Socket Connection;
  std::string In;
  const auto Due = Clock::now() + Millis(DeadlineMs);
  if (!Connection.connect(Address, Millis(1000)) ||
      !Connection.sendAll("POST /stream/draft HTTP/1.1\r\n"
                          "Host: ficu95.example\r\nAttempt-Id: " +
                              Id + "\r\nModel: m\r\nToken-Usage: 60,20\r\n" +
                              "Prefix-Hash: " + Parts +
                              "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
                              "\r\nContent-Length: 0\r\n\r\n",
                          Millis(1000)))
    return "no connection";
  while (In.find("\r\n0\r\n\r\n") == std::string::npos) {
    const auto Left =
        std::chrono::duration_cast<Millis>(Due - Clock::now()).count();
    if (Left <= 0)
      return "no end until the deadline";
    const long Count = Connection.read(In, Millis(Left));
    // The first piece of the stream.
    HasBegun = HasBegun || (In.starts_with("HTTP/1.1 200") &&
                            In.find("id: 1\n") != std::string::npos);
    if (Count == 0 || Count == -1)
      return "cut off";
    if (!In.starts_with("HTTP/1.1 200") &&
        In.find("\r\n\r\n") != std::string::npos)
      return "status " + In.substr(9, 3);
  }
  return "whole";
}

} // namespace

int main(int, char **Arguments) {
  const std::string Folder = Arguments[1];
  const bool Trouble = hasTrouble();
  const Spelling Spelled = spelling();
  raiseDescriptors();
  Record Log(Folder + "/record.txt");
  World System(Log, Arguments[2]);
  std::vector<std::unique_ptr<StandinServer>> Servers;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> Timers;
  std::vector<long> Ends;
  System.runInLoop([&] {
    for (int Index = 0; Index < Replicas; ++Index) {
      Servers.push_back(std::make_unique<StandinServer>(
          System.loop(), "i-" + std::to_string(Index), "stream"));
      Timers.push_back(
          std::make_unique<boost::asio::steady_timer>(System.loop()));
      StandinServer &Server = *Servers.back();
      boost::asio::steady_timer &Timer = *Timers.back();
      Server.m_FatalParts = {"dead"};
      Server.m_Capacity = 12;
      Server.m_OnEnded = [&] {
        Ends.push_back(Log.now());
        Log.line("replica " + Server.id() + " ends");
        Timer.expires_after(Absence);
        Timer.async_wait([&](const boost::system::error_code &Stopped) {
          if (Stopped)
            return;
          Server.restart(static_cast<std::uint64_t>(
              std::chrono::duration_cast<Millis>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()));
          Server.listen();
          System.putInLoop("keyed.servers", Server.id(), Server.record());
          Log.line("replica " + Server.id() + " is back");
        });
      };
      Server.listen();
      System.putInLoop("keyed.servers", Server.id(), Server.record());
    }
  });
  System.publish({{"stream", "streaming"}});
  for (int Index = 0; Index < Entries; ++Index)
    System.startEntry({});
  if (!System.awaitReady(Millis(20000))) {
    Log.line("the entries aren't ready");
    return 2;
  }
  std::this_thread::sleep_for(Millis(StableWindowMs + 500));

  const auto Begin = Clock::now();
  const long BeginMs = Log.now();
  const auto FatalBegin = Begin + std::chrono::seconds(CalmSeconds);
  const auto End = FatalBegin + std::chrono::seconds(FatalSeconds);
  std::mutex Mutex;
  std::vector<Sent> All;
  const auto Run = [&](bool IsFatal, int Number, int Callers, int PerSecond) {
    auto At =
        (IsFatal ? FatalBegin : Begin) + Millis(1000 * Number / PerSecond);
    for (int Count = 0; At < End; ++Count) {
      std::this_thread::sleep_until(At);
      Sent Each{Log.now(), IsFatal, false};
      const std::string Id = (IsFatal ? "fatal-" : "sound-") +
                             std::to_string(Number) + "-" +
                             std::to_string(Count);
      const std::string &To =
          System.m_Entries[static_cast<std::size_t>(Number + Count) % Entries]
              .m_Ingress;
      // No two requests are alike; sound ones share their other parts.
      const std::string Last = std::to_string(1000 * Count + Number) + ":20";
      const std::string Parts = "a1:40" + Spelled.m_Separator +
                                (IsFatal ? "dead:8" : "b2:8") +
                                Spelled.m_Separator + Last + Spelled.m_End;
      const std::string How = ask(To, Id, Parts, Each.m_HasBegun);
      Log.line(Id + " sent at " + std::to_string(Each.m_At) + " ms: " + How);
      {
        const std::lock_guard Lock(Mutex);
        All.push_back(Each);
      }
      At += Millis(1000 * Callers / PerSecond);
    }
  };
  std::vector<std::thread> Threads;
  const int Sound = SoundPerSecond * SecondsPerCaller;
  const int Fatal = FatalPerSecond * SecondsPerCaller;
  for (int Number = 0; Number < Sound; ++Number)
    Threads.emplace_back(Run, false, Number, Sound, SoundPerSecond);
  for (int Number = 0; Number < (Trouble ? Fatal : 0); ++Number)
    Threads.emplace_back(Run, true, Number, Fatal, FatalPerSecond);
  for (std::thread &Each : Threads)
    Each.join();

  std::vector<long> EndedAt;
  int FatalArrivals = 0;
  System.runInLoop([&] {
    EndedAt = Ends;
    for (const auto &Each : Servers)
      for (const auto &Got : Each->m_Received)
        FatalArrivals += Got.m_Id.starts_with("fatal-") ? 1 : 0;
  });
  const long JudgedFrom =
      EndedAt.empty() ? BeginMs + 1000L * CalmSeconds
                      : EndedAt[std::min<std::size_t>(EndedAt.size(), 5) - 1] +
                            2 * StableWindowMs;
  int Calm = 0;
  int CalmBegun = 0;
  int Later = 0;
  int LaterBegun = 0;
  for (const Sent &Each : All) {
    if (Each.m_IsFatal)
      continue;
    if (Each.m_At < BeginMs + 1000L * CalmSeconds) {
      ++Calm;
      CalmBegun += Each.m_HasBegun;
    } else if (Each.m_At >= JudgedFrom) {
      ++Later;
      LaterBegun += Each.m_HasBegun;
    }
  }
  const std::string Summary =
      "replicas ended " + std::to_string(EndedAt.size()) + " times, " +
      std::to_string(FatalArrivals) + " requests with the part reached them; " +
      std::to_string(CalmBegun) + " of " + std::to_string(Calm) +
      " sound requests began before, " + std::to_string(LaterBegun) + " of " +
      std::to_string(Later) + " from 6 s after the fifth end on";
  Log.line(Summary);
  std::cout << Summary << '\n';
  System.runInLoop([&] {
    Timers.clear();
    for (const auto &Each : Servers)
      Each->stop();
  });
  if (Calm < 20 || Later < 20)
    return 2;
  // Less than half as often.
  return 2L * LaterBegun * Calm < static_cast<long>(CalmBegun) * Later ? 1 : 0;
}
