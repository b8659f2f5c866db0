#ifndef CORNELDECK_DIRECT_SERVERNOTICES_H
#define CORNELDECK_DIRECT_SERVERNOTICES_H

#include "Base/Millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// The time in the head of a refusal in which a backend server accepts no
/// further requests from this entry.
struct PauseField {
  enum class Kind {
    Absent, ///< The response names no time.
    Named,  ///< m_Duration holds the time.
    Invalid ///< The field is not a decimal number; m_Text holds its value.
  };
  Kind m_Kind = Kind::Absent;
  base::Millis m_Duration{};
  std::string m_Text = {};
};

/// The notices in the head of a backend server's response.
struct ServerNotice {
  /// The server leaves and accepts no new requests.
  bool m_IsLeaving = false;
  PauseField m_Pause;
  /// Whether the server has accepted the request.
  bool m_IsAccepted = false;
};

/// One start of a backend server that leaves, for the other entries.
struct LeavingStatement {
  std::string m_Server;
  /// Wall-clock time of its start in milliseconds; 0 if unknown.
  std::uint64_t m_StartTime = 0;

  bool operator==(const LeavingStatement &) const = default;
};

/// Settings of ServerNotices.
struct ServerNoticeSettings {
  /// Longer pauses are shortened to this, so that a wrong value cannot remove a
  /// server forever.
  base::Millis m_MaxPause = base::minutes(10);
  /// Time for which a notice is kept while its server is not listed, since an
  /// older list may contain the server again.
  base::Millis m_UnlistedRetention = base::minutes(10);
  /// Interval between two requests to a server on trial.
  base::Millis m_TrialInterval = base::Millis(250);
  /// Extension of a pause that follows another one, doubled with each further
  /// pause up to the maximum, so that a server that stays full is tried less
  /// often by each of many entries.
  base::Millis m_PauseExtension = base::seconds(1);
  base::Millis m_MaxPauseExtension = base::seconds(4);
  /// A pause that starts later than this after the last one follows no other.
  base::Millis m_PauseMemory = base::seconds(10);
  /// Maximum number of statements in a heartbeat.
  std::size_t m_MaxStatements = 64;
};

/// The notices in the responses of backend servers: that a server leaves, or
/// that it accepts no requests from this entry for some time, its pause.
///
/// A server that leaves is not used until a later start of it is listed,
/// whatever lists contain until then. Entries exchange these notices. A pause
/// concerns only this entry. It ends by its time alone, and several pauses last
/// until the latest end. Afterwards the server is on trial until it has
/// accepted a request that was sent after the pause.
class ServerNotices {
public:
  /// A change of what is known about a server.
  struct Change {
    enum class Type {
      Leaving,
      Returned, ///< A later start of a server that left is listed.
      Paused,
      Resumed, ///< The server has accepted a request after its pause.
      Invalid  ///< A response had an invalid time; nothing changes.
    };
    Type m_Type = Type::Leaving;
    std::string m_Server;
    std::uint64_t m_StartTime = 0;
    /// Time left of a pause.
    base::Millis m_Remaining{};
    /// Entry that reported the change; empty for a response to this entry.
    std::string m_From = {};
    /// Value of an invalid field.
    std::string m_Text = {};
  };
  using ChangeHook = std::function<void(const Change &)>;

  explicit ServerNotices(ServerNoticeSettings Settings = {})
      : m_Settings(Settings) {}

  /// Sets the function that is called after each change.
  void onChange(ChangeHook OnChange) { m_OnChange = std::move(OnChange); }

  /// Sets the start times of the listed servers by id.
  void replaceServers(std::map<std::string, std::uint64_t> StartTimes,
                      base::Millis Now);

  /// Applies the notices of a response to this entry.
  /// \param StartTime the result of startTime() when the request was sent.
  /// \param SentAt when the request was sent.
  void recordResponse(const std::string &Server, std::uint64_t StartTime,
                      const ServerNotice &Notice, base::Millis SentAt,
                      base::Millis Now);

  /// Applies the statement of the entry \p From. It is kept also if the server
  /// is not listed yet.
  void applyStatement(const LeavingStatement &Statement,
                      const std::string &From, base::Millis Now);

  /// Returns the statements for a heartbeat: the listed servers whose notice
  /// that they leave was in a response to this entry.
  [[nodiscard]] std::vector<LeavingStatement> statements() const;

  /// Returns the latest start of a listed server; 0 if unknown.
  [[nodiscard]] std::uint64_t startTime(const std::string &Server) const;
  [[nodiscard]] bool isListed(const std::string &Server) const {
    return m_StartTimes.contains(Server);
  }
  /// Returns whether the latest start of the server leaves.
  [[nodiscard]] bool isLeaving(const std::string &Server) const;
  /// Returns the time left of a server's pause; zero if there is none.
  [[nodiscard]] base::Millis pauseRemaining(const std::string &Server,
                                            base::Millis Now) const;
  /// Returns whether the server has accepted no request since its pause.
  [[nodiscard]] bool isOnTrial(const std::string &Server) const;
  /// Returns whether the server may be sent a request now.
  [[nodiscard]] bool permits(const std::string &Server, base::Millis Now) const;
  /// Counts a request to a server.
  void recordAttempt(const std::string &Server, base::Millis Now);

  /// Returns the number of listed servers that leave.
  [[nodiscard]] std::size_t leavingCount() const;
  /// Returns the number of servers in a pause.
  [[nodiscard]] std::size_t pausedCount(base::Millis Now) const;

private:
  struct Leaving {
    std::uint64_t m_StartTime = 0;
    /// Whether the notice was in a response to this entry.
    bool m_FirstHand = false;
    /// When the server was listed last, or the notice was received.
    base::Millis m_RetainedSince{};
  };

  struct Pause {
    /// The latest end of the pauses, with their extension.
    base::Millis m_Until{};
    /// The latest end that the server named.
    base::Millis m_NamedUntil{};
    /// When a request on trial was sent last.
    std::optional<base::Millis> m_LastTrial;
    bool m_IsOnTrial = true;
    /// Number of pauses that followed another one.
    unsigned m_Repetitions = 0;
  };

  void recordLeaving(const std::string &Server, std::uint64_t StartTime,
                     const std::string &From, base::Millis Now);
  /// Ends the extension of pauses of servers of which a later start is listed.
  void endExtensions(const std::map<std::string, std::uint64_t> &StartTimes);
  void recordPause(const std::string &Server, const PauseField &Field,
                   base::Millis Now);
  /// Returns the end of a pause that starts now, without an extension.
  [[nodiscard]] base::Millis namedEnd(const PauseField &Field,
                                      base::Millis Now) const;
  /// Returns the extension of a pause that starts now.
  /// \param Last the former pause of the server; its repetitions are updated.
  base::Millis extension(Pause &Last, base::Millis Now) const;
  void report(const Change &Reported) const;

  const ServerNoticeSettings m_Settings;
  /// The latest start of each listed server.
  std::map<std::string, std::uint64_t> m_StartTimes;
  std::map<std::string, Leaving> m_Leaving;
  /// Pauses, also those whose trial has ended.
  std::map<std::string, Pause> m_Pauses;
  /// Last invalid field of each server, so that each is reported once.
  std::map<std::string, std::string> m_InvalidTexts;
  ChangeHook m_OnChange;
};

/// Returns the name of \p Type for logs.
std::string_view name(ServerNotices::Change::Type Type);

} // namespace corneldeck::direct

#endif
