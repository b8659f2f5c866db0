// Requests whose prompt has a part that ends replicas, in conversations of many
// parts. See review/5/claim.txt.
//
// usage: LongPrompts RECORD PARTS [ID-PREFIX [repeat]]
//
// ID-PREFIX precedes all ids, to make them longer. With "repeat", the first
// shared part comes twice.

#include "CaseWorld.h"

#include <iostream>
#include <map>

using namespace corneldeck;
using namespace corneldeck::review;
using nlohmann::json;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 4;
constexpr int SoundPerSecond = 20;
constexpr int FatalPerSecond = 3;
/// Time from the end of a replica until it has started again.
constexpr base::Millis DownTime = base::seconds(4);
constexpr base::Millis StableWindow = base::seconds(3);
constexpr base::Millis CalmTime = base::seconds(15);
constexpr base::Millis TroubleTime = base::seconds(40);
constexpr int EndsBefore = 5;
constexpr int LeastRequests = 20;
constexpr const char *FatalPart = "fa7a1";

class LongPrompts {
public:
  LongPrompts(const std::string &Record, int Parts, std::string Prefix,
              bool Repeats)
      : m_World(Record), m_Parts(Parts), m_Prefix(std::move(Prefix)) {
    for (int Index = 0; Index < Replicas; ++Index) {
      Replica &Added = m_Replicas.emplace_back();
      Added.m_Server = std::make_unique<tests::StandinServer>(
          m_World.m_Loop, "i-" + std::to_string(Index), "svc");
      Added.m_Server->m_FatalParts = {m_Prefix + FatalPart};
      Added.m_Server->m_OnEnded = [this, Index] { ended(Index); };
      Added.m_Server->listen();
      enrol(Added);
    }
    // All conversations go on from the same document.
    for (int Index = 1; Index + 1 < m_Parts; ++Index)
      m_Shared += m_Prefix + "a" + std::to_string(1000 + Index) + ":12,";
    if (Repeats)
      m_Shared += m_Prefix + "a1001:12,";
    m_First = m_Prefix + "c1:40,";
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
                        {"max-connections", 348}}}},
                     {"limits",
                      {{"max-header-bytes", 16384},
                       {"max-body-bytes", 4194304},
                       {"header-timeout-ms", 5000},
                       {"idle-timeout-ms", 15000}}},
                     {"tenants", {{{"name", "c"}, {"api-keys", {"k"}}}}}});
    m_World.startEntries(Entries);
    if (!m_World.waitUntilReady(base::seconds(20)))
      return Verdict::CouldNotRun;
    m_World.runFor(StableWindow);
    m_World.every(base::Millis(1000 / SoundPerSecond), [this] { askSound(); });
    m_World.runFor(CalmTime);
    m_TroubleAt = m_World.now();
    m_World.record("the calm time ends");
    if (hasTrouble())
      m_World.every(base::Millis(1000 / FatalPerSecond),
                    [this] { askFatal(); });
    m_World.runFor(TroubleTime);
    m_World.record("the last request was sent");
    const base::Millis End = m_World.now();
    m_IsAsking = false;
    m_World.runFor(base::seconds(3));
    return judge(End);
  }

private:
  struct Replica {
    std::unique_ptr<tests::StandinServer> m_Server;
    std::uint64_t m_Born = 1;
    int m_Sequence = 0;
  };

  void enrol(Replica &Of) {
    m_World.m_Store.put("keyed.servers", Of.m_Server->id(),
                        Of.m_Server->record("ready", ++Of.m_Sequence));
  }

  void ended(int Index) {
    m_Ends.push_back(m_World.now());
    Replica &Of = m_Replicas[static_cast<std::size_t>(Index)];
    m_World.record("replica " + Of.m_Server->id() + " has ended");
    m_World.after(DownTime, [this, &Of] {
      Of.m_Server->restart(++Of.m_Born);
      Of.m_Server->listen();
      Of.m_Sequence = 0;
      enrol(Of);
      m_World.record("replica " + Of.m_Server->id() + " is back");
    });
  }

  void askSound() {
    if (!m_IsAsking)
      return;
    const std::string Id = "sound-" + std::to_string(++m_Asked);
    m_Sound[Id] = m_World.now();
    m_World.call(m_Asked % Entries, "POST", "/stream/a", Id,
                 {{"Prefix-Hash", m_First + m_Shared + last() + ":250"},
                  {"Token-Usage", "1000,20"},
                  {"Model", "m"}},
                 "x");
  }

  void askFatal() {
    if (!m_IsAsking)
      return;
    const std::string Id = "fatal-" + std::to_string(++m_Asked);
    m_World.call(m_Asked % Entries, "POST", "/stream/a", Id,
                 {{"Prefix-Hash", m_First + m_Shared + m_Prefix + FatalPart +
                                      ":100," + last() + ":250"},
                  {"Token-Usage", "1000,20"},
                  {"Model", "m"}},
                 "x");
  }

  /// \returns a part of the prompt that belongs to one request only.
  [[nodiscard]] std::string last() const {
    return m_Prefix + std::to_string(5'000'000 + m_Asked);
  }

  Verdict judge(base::Millis End) {
    std::map<std::string, bool> Begun;
    for (const Replica &Of : m_Replicas)
      for (const tests::ReceivedRequest &Each : Of.m_Server->m_Received)
        if (Each.m_Ran)
          Begun[Each.m_Id] = true;
    for (const auto &[Id, Time] : m_Sound)
      m_World.record("run " + Id +
                     (Begun.contains(Id) ? " begun" : " not begun"));
    const base::Millis From =
        (m_Ends.empty()                ? m_TroubleAt
         : m_Ends.size() >= EndsBefore ? m_Ends[EndsBefore - 1]
                                       : m_Ends.back()) +
        StableWindow * 2;
    int Before = 0;
    int BegunBefore = 0;
    int Later = 0;
    int BegunLater = 0;
    for (const auto &[Id, Time] : m_Sound) {
      if (Time < m_TroubleAt) {
        ++Before;
        BegunBefore += Begun.contains(Id) ? 1 : 0;
      } else if (Time >= From && Time < End) {
        ++Later;
        BegunLater += Begun.contains(Id) ? 1 : 0;
      }
    }
    const double ShareBefore = Before > 0 ? 1.0 * BegunBefore / Before : 0;
    const double ShareLater = Later > 0 ? 1.0 * BegunLater / Later : 0;
    const std::string Line =
        "parts " + std::to_string(m_Parts) + "; replicas ended " +
        std::to_string(m_Ends.size()) +
        " times; sound requests begun at the "
        "first attempt: outside the disruption " +
        std::to_string(BegunBefore) + " of " + std::to_string(Before) +
        ", from 2 x stable-window-ms after the fifth end " +
        std::to_string(BegunLater) + " of " + std::to_string(Later);
    m_World.record(Line);
    std::cout << Line << '\n';
    if (Before < LeastRequests || Later < LeastRequests || ShareBefore < 0.9)
      return Verdict::CouldNotRun;
    return ShareLater < ShareBefore / 2 ? Verdict::Broken : Verdict::Held;
  }

  CaseWorld m_World;
  const int m_Parts;
  const std::string m_Prefix;
  std::string m_First;
  std::vector<Replica> m_Replicas;
  std::string m_Shared;
  std::vector<base::Millis> m_Ends;
  std::map<std::string, base::Millis> m_Sound;
  base::Millis m_TroubleAt{};
  int m_Asked = 0;
  bool m_IsAsking = true;
};

} // namespace

int main(int Count, char **Words) {
  if (Count < 3)
    return static_cast<int>(Verdict::CouldNotRun);
  LongPrompts Case(Words[1], std::stoi(Words[2]), Count > 3 ? Words[3] : "",
                   Count > 4);
  return static_cast<int>(Case.run());
}
