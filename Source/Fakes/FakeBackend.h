#ifndef CORNELDECK_FAKES_FAKEBACKEND_H
#define CORNELDECK_FAKES_FAKEBACKEND_H

#include "Fakes/VirtualTime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::fakes {

/// A request as a backend server gets it.
struct BackendCall {
  std::uint64_t m_Run = 0;
  std::string m_Request;
  std::uint32_t m_Attempt = 0;
  std::string m_Key;
  std::string m_Content;
  bool m_Stream = false;
  std::uint32_t m_ResumeFrom = 0;
  std::string m_ResumeText;
  std::string m_KvLocation;
};

/// One start of a request at a backend server.
struct BackendRun {
  base::Millis m_At;
  std::string m_Server;
  BackendCall m_Call;
  /// Tells the texts of two generations apart.
  std::uint64_t m_Generation = 0;
  /// Goes on with an earlier generation instead of beginning one.
  bool m_Resumed = false;
};

/// What all backend servers of a trial share: the record of what ran, and the
/// exported KV caches.
struct BackendHistory {
  std::vector<BackendRun> m_Runs;
  std::uint64_t m_Generations = 0;
  /// Generation and tokens of each exported cache.
  std::map<std::string, std::pair<std::uint64_t, std::uint32_t>> m_Exports;
};

/// An engine or plain service that generates a text which names its generation
/// and token, so that a spliced answer can be told.
class FakeBackend {
public:
  struct Hooks {
    std::function<void(std::uint64_t Run)> m_Began;
    std::function<void(std::uint64_t Run, std::uint32_t Tokens,
                       const std::string &Data)>
        m_Chunk;
    /// \p Ok is false if the backend server refused to begin.
    std::function<void(std::uint64_t Run, bool Ok, const std::string &Body)>
        m_End;
    std::function<void(std::uint64_t Run, const std::string &Location)>
        m_Exported;
  };

  static constexpr std::uint32_t Tokens = 6;
  static constexpr base::Millis TokenTime{20};
  static constexpr base::Millis PlainTime{60};

  FakeBackend(VirtualTime &Time, BackendHistory &History, std::string Server);

  /// Connects a new agent process; the events of older runs are dropped.
  /// \returns the number of the connection.
  std::uint64_t connect(Hooks AgentHooks);

  /// Runs a request. One that an earlier agent process had written runs too,
  /// though nobody hears of its end.
  void run(std::uint64_t Connection, const BackendCall &Call);
  void cancel(std::uint64_t Run);

  /// Stops a stream and exports its cache.
  void exportCache(std::uint64_t Run);

  /// Nothing goes on for a while.
  void stall(base::Millis Span);

  /// The VM is gone: nothing that ran goes on.
  void reset();

private:
  struct Active {
    BackendCall m_Call;
    std::uint64_t m_Generation = 0;
    std::uint32_t m_NextToken = 0;
  };

  void advance(std::uint64_t Connection, std::uint64_t Run);
  void later(base::Millis Delay, std::uint64_t Run);

  VirtualTime &m_Time;
  BackendHistory &m_History;
  const std::string m_Server;
  std::uint64_t m_Connection = 0;
  base::Millis m_StalledUntil;
  Hooks m_Hooks;
  std::map<std::uint64_t, Active> m_Active;
};

/// \returns the text of one token of a generation.
std::string tokenText(std::uint64_t Generation, std::uint32_t Token);

/// \returns the whole text of a streamed answer.
std::string streamText(std::uint64_t Generation);

} // namespace corneldeck::fakes

#endif
