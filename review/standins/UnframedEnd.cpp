// Replicas whose streams end with their connection, and requests with a part
// that ends a replica after its first event. See review/3/claim.txt.
//
// usage: UnframedEnd RECORD unframed|chunked

#include "CaseWorld.h"
#include "RawServer.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

using namespace corneldeck;
using namespace corneldeck::review;
using nlohmann::json;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 4;
constexpr int SoundPerSecond = 20;
constexpr int FatalPerSecond = 3;
constexpr int Events = 6;
constexpr base::Millis EventPause{20};
/// Time from the end of a replica until it has started again.
constexpr base::Millis DownTime = base::seconds(4);
constexpr base::Millis StableWindow = base::seconds(3);
constexpr base::Millis CalmTime = base::seconds(15);
constexpr base::Millis TroubleTime = base::seconds(40);
constexpr std::size_t EndsBefore = 5;
constexpr int LeastRequests = 20;
constexpr int AllowedFatal = 3;
constexpr const char *FatalPart = "fa7a1";

/// A replica. It ends as a process does that crashes: the operating system
/// closes its sockets.
class Replica {
public:
  Replica(CaseWorld &World, std::string Id, bool IsChunked)
      : m_World(World), m_Id(std::move(Id)), m_IsChunked(IsChunked),
        m_Server(World.m_Loop,
                 [this](const RawServer::ConnectionPtr &From,
                        const RawRequest &Request) { handle(From, Request); }) {
    start();
  }

  /// Ids of the requests that the replica began to run, with their times.
  std::map<std::string, base::Millis> m_Begun;
  std::vector<base::Millis> m_Ends;

private:
  void start() {
    const json Entry = {{"backend", "svc"}, {"address", m_Server.listen()},
                        {"zone", "a"},      {"capacity", 8},
                        {"version", "v1"},  {"lifecycle-state", "ready"},
                        {"sequence", 1},    {"warmup-remaining-ms", 0},
                        {"born", ++m_Born}};
    m_World.m_Store.put("keyed.servers", m_Id, Entry.dump());
    m_IsRunning = true;
  }

  void end() {
    if (!std::exchange(m_IsRunning, false))
      return;
    m_Server.end();
    m_Ends.push_back(m_World.now());
    m_World.record("replica " + m_Id + " has ended");
    m_World.after(DownTime, [this] {
      start();
      m_World.record("replica " + m_Id + " is back");
    });
  }

  void handle(const RawServer::ConnectionPtr &From, const RawRequest &Request) {
    const auto Field = [&Request](const std::string &Name) {
      const auto Found = Request.m_Fields.find(Name);
      return Found == Request.m_Fields.end() ? std::string() : Found->second;
    };
    const std::string Id = Field("Attempt-Id");
    const std::string Expected = Field("Expected-Instance");
    if (!Expected.empty() && Expected != m_Id) {
      From->send(
          rawResponse(421, "Attempt-Id: " + Id + "\r\nNot-Executed: 1\r\n", ""),
          [From] { From->read(); });
      return;
    }
    m_Begun[Id] = m_World.now();
    m_World.record("run " + Id + " at " + m_Id);
    const bool IsFatal =
        Field("Prefix-Hash").find(std::string(FatalPart) + ":") !=
        std::string::npos;
    const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                             "\r\nResponse-Signature: " + m_Id + "." + Id +
                             "\r\nContent-Type: text/event-stream\r\n" +
                             (m_IsChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                          : "Connection: close\r\n\r\n");
    From->send(Head + event(Id, 1),
               [this, From, Id, IsFatal] { wait(From, Id, IsFatal, 2); });
  }

  /// Goes on with the stream after a pause.
  void wait(const RawServer::ConnectionPtr &To, const std::string &Id,
            bool IsFatal, int Next) {
    m_World.after(EventPause, [this, To, Id, IsFatal, Next] {
      if (!To->isOpen())
        return;
      if (IsFatal)
        end();
      else if (Next <= Events)
        To->send(event(Id, Next),
                 [this, To, Id, Next] { wait(To, Id, false, Next + 1); });
      else if (m_IsChunked)
        To->send("0\r\n\r\n", [To] { To->read(); });
      else
        To->close();
    });
  }

  [[nodiscard]] std::string event(const std::string &Id, int Number) const {
    const std::string Event =
        "id: " + std::to_string(Number) + "\ndata: " + Id + "\n\n";
    if (!m_IsChunked)
      return Event;
    std::ostringstream Size;
    Size << std::hex << Event.size();
    return Size.str() + "\r\n" + Event + "\r\n";
  }

  CaseWorld &m_World;
  const std::string m_Id;
  const bool m_IsChunked;
  RawServer m_Server;
  std::uint64_t m_Born = 1'790'000'000'000;
  bool m_IsRunning = false;
};

class UnframedEnd {
public:
  UnframedEnd(const std::string &Record, bool IsChunked) : m_World(Record) {
    for (int Index = 0; Index < Replicas; ++Index)
      m_Replicas.push_back(std::make_unique<Replica>(
          m_World, "i-" + std::to_string(Index), IsChunked));
  }

  Verdict run() {
    m_World.publish({{"version", 1},
                     {"routes",
                      {{{"name", "stream"},
                        {"hostname", "x.example"},
                        {"path-prefix", "/stream/"},
                        {"type", "streaming"},
                        {"resumable", true},
                        {"timeout-ms", 8000},
                        {"target-latency-ms", 500},
                        {"itl-target-ms", 120},
                        {"priority", 1},
                        {"backend", "svc"},
                        {"max-attempts", 2},
                        {"session-affinity", true},
                        {"public", false}}}},
                     {"backends",
                      {{{"name", "svc"},
                        {"health-check-path", "/healthz"},
                        {"max-connections", 358}}}},
                     {"limits",
                      {{"max-header-bytes", 16384},
                       {"max-body-bytes", 4194304},
                       {"header-timeout-ms", 3000},
                       {"idle-timeout-ms", 15000}}},
                     {"tenants", {{{"name", "c"}, {"api-keys", {"k"}}}}}});
    m_World.startEntries(Entries);
    if (!m_World.waitUntilReady(base::seconds(20)))
      return Verdict::CouldNotRun;
    m_World.runFor(StableWindow);
    m_World.every(base::Millis(1000 / SoundPerSecond), [this] { ask(false); });
    m_World.runFor(CalmTime);
    m_TroubleAt = m_World.now();
    m_World.record("the calm time ends");
    if (hasTrouble())
      m_World.every(base::Millis(1000 / FatalPerSecond), [this] { ask(true); });
    m_World.runFor(TroubleTime);
    m_World.record("the last request was sent");
    const base::Millis End = m_World.now();
    m_IsAsking = false;
    m_World.runFor(base::seconds(3));
    return judge(End);
  }

private:
  void ask(bool IsFatal) {
    if (!m_IsAsking)
      return;
    const std::string Number = std::to_string(++m_Asked);
    const std::string Id = (IsFatal ? "fatal-" : "sound-") + Number;
    if (!IsFatal)
      m_Sound[Id] = m_World.now();
    const std::string Middle = IsFatal ? std::string(FatalPart) + ":410," : "";
    m_World.call(
        m_Asked % Entries, "POST", "/stream/a", Id,
        {{"Prefix-Hash", "5c1e07a2:40,91bd3f06:410," + Middle +
                             std::to_string(5'000'000 + m_Asked) + ":250"},
         {"Token-Usage", "1110,24"},
         {"Model", "m"}},
        "x");
  }

  Verdict judge(base::Millis End) {
    std::vector<base::Millis> Ends;
    std::map<std::string, base::Millis> Begun;
    for (const auto &Each : m_Replicas) {
      Ends.insert(Ends.end(), Each->m_Ends.begin(), Each->m_Ends.end());
      Begun.insert(Each->m_Begun.begin(), Each->m_Begun.end());
    }
    std::sort(Ends.begin(), Ends.end());
    for (const auto &[Id, Time] : m_Sound)
      m_World.record("result " + Id +
                     (Begun.contains(Id) ? " begun" : " not begun"));
    const base::Millis Last = Ends.empty()                ? m_TroubleAt
                              : Ends.size() >= EndsBefore ? Ends[EndsBefore - 1]
                                                          : Ends.back();
    int Before = 0;
    int BegunBefore = 0;
    int Later = 0;
    int BegunLater = 0;
    for (const auto &[Id, Time] : m_Sound) {
      const int IsBegun = Begun.contains(Id) ? 1 : 0;
      if (Time < m_TroubleAt) {
        ++Before;
        BegunBefore += IsBegun;
      } else if (Time >= Last + StableWindow * 2 && Time < End) {
        ++Later;
        BegunLater += IsBegun;
      }
    }
    int LateFatal = 0;
    for (const auto &[Id, Time] : Begun)
      if (Id.starts_with("fatal-") && Ends.size() >= EndsBefore &&
          Time > Last + StableWindow)
        ++LateFatal;
    const double ShareBefore = Before > 0 ? 1.0 * BegunBefore / Before : 0;
    const double ShareLater = Later > 0 ? 1.0 * BegunLater / Later : 0;
    std::ostringstream Line;
    Line << "replicas ended " << Ends.size()
         << " times; requests with the part that began later than "
            "stable-window-ms after the fifth end: "
         << LateFatal << "; sound requests begun: outside the disruption "
         << BegunBefore << " of " << Before
         << ", from 2 x stable-window-ms after the fifth end " << BegunLater
         << " of " << Later;
    m_World.record(Line.str());
    std::cout << Line.str() << '\n';
    if (Before < LeastRequests || Later < LeastRequests || ShareBefore < 0.9)
      return Verdict::CouldNotRun;
    const bool IsLost = ShareLater < ShareBefore / 2;
    m_World.record(std::string("LOST ") + (IsLost ? "broken" : "held") +
                   ", BUDGET " +
                   (LateFatal > AllowedFatal ? "broken" : "held"));
    return IsLost ? Verdict::Broken : Verdict::Held;
  }

  CaseWorld m_World;
  std::vector<std::unique_ptr<Replica>> m_Replicas;
  std::map<std::string, base::Millis> m_Sound;
  base::Millis m_TroubleAt{};
  int m_Asked = 0;
  bool m_IsAsking = true;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return static_cast<int>(Verdict::CouldNotRun);
  return static_cast<int>(
      UnframedEnd(Words[1], Words[2] == std::string("chunked")).run());
}
