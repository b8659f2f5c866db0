#include "EntryFixture.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char *FatalPart = "dead";

/// Three entries whose backend servers end when they begin to write a response
/// on one part of prompts, and are replaced under new ids some time later.
class PlatformPromptQuarantine : public PlatformEntry {
protected:
  PlatformPromptQuarantine() : PlatformEntry(3) {}

  void SetUp() override {
    PlatformEntry::SetUp();
    for (const auto &Each : m_Servers)
      prepareServer(*Each);
  }

  void prepareServer(StandinServer &Server) {
    Server.m_FatalParts = m_FatalParts;
    Server.m_OnEnded = [this, &Server] {
      m_EndedAt.push_back(steady_clock::now());
      replaceServer(Server);
    };
  }

  /// Starts another server, as the platform does after a crash.
  void replaceServer(const StandinServer &Ended) {
    const auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop);
    Timer->expires_after(m_RestartTime);
    Timer->async_wait(
        [this, Timer, Id = Ended.id()](const boost::system::error_code &Code) {
          if (Code)
            return;
          m_Store.put("keyed.servers", Id, "");
          m_Servers.push_back(std::make_unique<StandinServer>(
              m_Loop, "i-" + std::to_string(m_Servers.size()), "svc"));
          m_Servers.back()->listen();
          prepareServer(*m_Servers.back());
          m_Servers.back()->m_Behavior = m_Mode;
          m_Store.put("keyed.servers", m_Servers.back()->id(),
                      m_Servers.back()->record());
        });
  }

  /// Starts a stream at an entry.
  /// \param Parts the parts of its prompt but the last, hexadecimal.
  AnswerPtr stream(const std::vector<std::string> &Parts, int Entry) {
    const std::string Id = "q" + std::to_string(++m_Calls);
    std::string Prompt;
    for (const std::string &Each : Parts)
      Prompt += Each + ":100,";
    Prompt += std::to_string(100'000 + m_Calls) + ":300";
    return call("GET", "/stream/a", Id, {{"Prefix-Hash", Prompt}}, "key-1",
                Entry);
  }

  /// Sends a sound stream and a fatal one every \p Interval, to all entries in
  /// turn. They differ in one part of their prompts.
  void sendMixed(milliseconds Duration, milliseconds Interval) {
    const auto Begin = steady_clock::now();
    int Sent = 0;
    runUntil([&] {
      const auto Now = steady_clock::now();
      for (; Begin + Sent * Interval <= Now && Now < Begin + Duration; ++Sent) {
        const int Entry = Sent % m_EntryCount;
        const std::string Other = std::to_string(Sent % 7 + 1);
        m_Sound.push_back(stream({"a1", Other}, Entry));
        m_Fatal.push_back(
            stream({"a1", Other, FatalPart}, (Entry + 1) % m_EntryCount));
      }
      return Now >= Begin + Duration;
    });
    for (const AnswerPtr &Each : m_Sound)
      finish(Each);
    for (const AnswerPtr &Each : m_Fatal)
      finish(Each);
  }

  /// Serves some sound streams at each entry.
  void warmUp() {
    for (int Count = 0; Count < 21; ++Count)
      EXPECT_EQ(finish(stream({"a1", std::to_string(Count % 7 + 1)},
                              Count % m_EntryCount))
                    ->m_Status,
                200);
  }

  /// Returns the number of requests with the fatal part that servers received
  /// after a time.
  [[nodiscard]] long fatalArrivals(steady_clock::time_point After) const {
    long Sum = 0;
    for (const auto &Server : m_Servers)
      Sum += std::count_if(
          Server->m_Received.begin(), Server->m_Received.end(),
          [&](const ReceivedRequest &Each) {
            const auto Prompt = Each.m_Headers.find("Prefix-Hash");
            return Each.m_ReceivedAt > After &&
                   Prompt != Each.m_Headers.end() &&
                   Prompt->second.find(FatalPart) != std::string::npos;
          });
    return Sum;
  }

  /// Returns what the page of an entry says of quarantined parts.
  std::string quarantinePage(int Entry) {
    std::string Text;
    bool Done = false;
    m_Http.get(m_Settings[Entry].m_PeerAddress, "/quarantine",
               base::seconds(30),
               [&](const base::Result<net::HttpResponse> &Reply) {
                 Done = true;
                 Text = Reply ? Reply->m_Body : std::string();
               });
    runUntil([&Done] { return Done; });
    return Text;
  }

  std::set<std::string> m_FatalParts = {FatalPart};
  milliseconds m_RestartTime{300};
  /// How servers that replace others handle requests.
  Behavior m_Mode = Behavior::Serve;
  std::vector<steady_clock::time_point> m_EndedAt;
  std::vector<AnswerPtr> m_Sound;
  std::vector<AnswerPtr> m_Fatal;
};

} // namespace

// Failure: requests with one part in their prompts ended server after server,
// since each entry sent them on and saw only some of the ends.
TEST_F(PlatformPromptQuarantine, RequestsThatEndServersAreKeptFromTheOthers) {
  constexpr std::size_t MaxEnds = 5;
  constexpr long MaxArrivals = 3;
  constexpr milliseconds StableWindow{3000};
  warmUp();
  sendMixed(milliseconds(8000), milliseconds(100));
  EXPECT_LE(m_EndedAt.size(), MaxEnds);
  if (m_EndedAt.size() >= MaxEnds) {
    EXPECT_LE(fatalArrivals(m_EndedAt[MaxEnds - 1] + StableWindow),
              MaxArrivals);
  }
  const auto Served =
      std::count_if(m_Sound.begin(), m_Sound.end(), [](const AnswerPtr &Each) {
        return Each->m_Status == 200;
      });
  EXPECT_GE(2 * Served, static_cast<long>(m_Sound.size()));
  for (const AnswerPtr &Each : m_Fatal)
    EXPECT_NE(Each->m_Status, 200);
}

// Failure: a stream without a length and chunks that ended between two events,
// since its server had ended, counted as served, so that its parts were never
// blamed.
TEST_F(PlatformPromptQuarantine, UnframedStreamsThatEndServersAreKeptAway) {
  constexpr std::size_t MaxEnds = 5;
  setAll(Behavior::UnframedStream);
  m_Mode = Behavior::UnframedStream;
  warmUp();
  sendMixed(milliseconds(6000), milliseconds(150));
  EXPECT_LE(m_EndedAt.size(), MaxEnds);
  const auto Served =
      std::count_if(m_Sound.begin(), m_Sound.end(), [](const AnswerPtr &Each) {
        return Each->m_Status == 200;
      });
  EXPECT_GE(2 * Served, static_cast<long>(m_Sound.size()));
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    EXPECT_EQ(metric(Entry, "corneldeck_quarantined_parts"), 1) << Entry;
}

// Failure: an entry that started later, or that had seen no end, sent requests
// with the part on, or responded with a short retry-after time.
TEST_F(PlatformPromptQuarantine, AllEntriesRefuseAndNameTheQuarantinedPart) {
  warmUp();
  for (int Server = 0; Server < 2; ++Server) {
    const std::size_t Before = m_EndedAt.size();
    finish(stream({"a1", FatalPart}, 0));
    EXPECT_EQ(m_EndedAt.size(), Before + 1);
    const auto Begin = steady_clock::now();
    runUntil([&] { return steady_clock::now() > Begin + milliseconds(600); });
  }
  m_Entries[2].reset();
  startEntry(2);
  runUntil([this] {
    return isReady(2) && metric(2, "corneldeck_quarantined_parts") == 1;
  });
  const std::size_t Ends = m_EndedAt.size();
  for (int Entry = 0; Entry < m_EntryCount; ++Entry) {
    const AnswerPtr Refused = finish(stream({"a1", FatalPart}, Entry));
    EXPECT_EQ(Refused->m_Status, 503);
    EXPECT_GT(std::stod(std::string(
                  net::findHeader(Refused->m_Headers, "Retry-After"))),
              30);
    EXPECT_EQ(finish(stream({"a1"}, Entry))->m_Status, 200);
    EXPECT_EQ(metric(Entry, "corneldeck_quarantine_refused_total"), 1);
    EXPECT_NE(quarantinePage(Entry).find("part=dead service=svc confirmed=yes"),
              std::string::npos)
        << quarantinePage(Entry);
  }
  EXPECT_EQ(m_EndedAt.size(), Ends);
}

// Failure: connections that were reset, or closed by a server that lives, were
// taken for ends of servers, and blamed what their requests had in common.
TEST_F(PlatformPromptQuarantine, BrokenConnectionsToLiveServersBlameNoPart) {
  for (const Behavior Mode : {Behavior::Reset, Behavior::NoContentLength}) {
    setAll(Mode);
    for (int Count = 0; Count < 12; ++Count)
      finish(stream({"a1", "b2"}, Count % m_EntryCount));
  }
  setAll(Behavior::Serve);
  for (int Entry = 0; Entry < m_EntryCount; ++Entry) {
    EXPECT_EQ(metric(Entry, "corneldeck_quarantined_parts"), 0);
    EXPECT_EQ(finish(stream({"a1", "b2"}, Entry))->m_Status, 200);
  }
}

} // namespace corneldeck::tests
