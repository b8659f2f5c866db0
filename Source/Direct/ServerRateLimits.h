#ifndef CORNELDECK_DIRECT_SERVERRATELIMITS_H
#define CORNELDECK_DIRECT_SERVERRATELIMITS_H

#include "Base/Millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// The rate limit in the head of a backend server's response.
struct RateLimitField {
  enum class Kind {
    Absent, ///< The response names no limit.
    Named,  ///< m_PerSecond holds the limit.
    Invalid ///< The field is not a decimal number; m_Text holds its value.
  };
  Kind m_Kind = Kind::Absent;
  /// Requests per second from all entries together.
  double m_PerSecond = 0;
  std::string m_Text = {};
};

/// What is known about the rate limit of one start of a server, for the other
/// entries.
struct RateLimitStatement {
  std::string m_Server;
  /// Start of the server, see ServerRateLimits::Instance.
  std::uint64_t m_StartTime = 0;
  /// Requests per second; none if the limit has ended.
  std::optional<double> m_PerSecond;
  /// Time since the server made the statement. Entries do not compare their
  /// clocks.
  base::Millis m_Age{};
};

/// Settings of ServerRateLimits.
struct ServerRateLimitSettings {
  /// A limit that no response has confirmed for this long is dropped.
  base::Millis m_ConfirmationTimeout = base::seconds(30);
  /// An entry sends the statements in responses to itself for this long.
  base::Millis m_FirstHandAge = base::seconds(2);
  /// The entry that grants the tokens of a server repeats the end of its limit
  /// for this long, and the limit itself for as long as it holds.
  base::Millis m_EndRetention = base::seconds(5);
  /// Maximum number of statements in a heartbeat; the newest are sent.
  std::size_t m_MaxStatements = 64;
};

/// The rate limits that backend servers name in their responses.
///
/// A limit holds until a response without one ends it, the server restarts or
/// leaves, or no response has confirmed it for some time. Entries exchange what
/// they know in their heartbeats. A statement that a limit ended counts as made
/// when its request was sent, a named limit when its response was received, so
/// that an overtaken response does not end a limit.
class ServerRateLimits {
public:
  /// Identifies one start of a server.
  struct Instance {
    std::string m_Address;
    /// Wall-clock time of its start in milliseconds; 0 if unknown.
    std::uint64_t m_StartTime = 0;

    bool operator==(const Instance &) const = default;
  };

  /// A change of the known limit of a server.
  struct Change {
    enum class Type {
      Learned,
      Changed,
      Ended,     ///< The server no longer names a limit.
      Expired,   ///< No response has confirmed the limit.
      Forgotten, ///< The server has left or restarted.
      Invalid    ///< A response had an invalid field; the limit is unchanged.
    };
    Type m_Type = Type::Learned;
    std::string m_Server;
    /// Requests per second; the last ones if the limit has ended.
    double m_PerSecond = 0;
    /// Entry that reported the change; empty for a response to this entry.
    std::string m_From = {};
    /// Time since the server made the statement.
    base::Millis m_Age{};
    /// Value of an invalid field.
    std::string m_Text = {};
  };
  using ChangeHook = std::function<void(const Change &)>;

  explicit ServerRateLimits(ServerRateLimitSettings Settings = {})
      : m_Settings(Settings) {}

  /// Sets the function that is called after each change.
  void onChange(ChangeHook OnChange) { m_OnChange = std::move(OnChange); }

  /// Sets the listed servers by id. The limits of servers that have left or
  /// restarted are forgotten.
  void replaceServers(std::map<std::string, Instance> Instances,
                      base::Millis Now);

  /// Updates the limit of a server with a response to this entry.
  /// \param IsConclusive whether a response without a limit ends the limit.
  /// \param SentAt when the request was sent.
  void recordResponse(const std::string &Server, const RateLimitField &Field,
                      bool IsConclusive, base::Millis SentAt, base::Millis Now);

  /// Updates the limit of a server with a statement of the entry \p From.
  /// Ignored if it is about another start of the server, or not newer than what
  /// is known.
  void applyStatement(const RateLimitStatement &Statement,
                      const std::string &From, base::Millis Now);

  /// Returns the statements for a heartbeat.
  /// \param IsGranter returns whether this entry grants the tokens of a server.
  [[nodiscard]] std::vector<RateLimitStatement>
  statements(base::Millis Now,
             const std::function<bool(const std::string &)> &IsGranter) const;

  /// Returns the limit of a server as a statement; nothing if it has no limit.
  [[nodiscard]] std::optional<RateLimitStatement>
  statement(const std::string &Server, base::Millis Now) const;

  /// Drops the limits that no response has confirmed for too long.
  void dropExpired(base::Millis Now);

  /// Returns the limit in requests per second; nothing if there is none.
  [[nodiscard]] std::optional<double> limit(const std::string &Server) const;
  /// Returns the servers with a limit.
  [[nodiscard]] std::vector<std::string> limitedServers() const;

private:
  struct Known {
    /// Requests per second; none after the end of a limit.
    std::optional<double> m_PerSecond;
    /// When the server made the newest statement.
    base::Millis m_StatedAt{};
    /// Whether the newest statement was a response to this entry.
    bool m_FirstHand = false;
  };

  /// Applies a statement that the server made at \p StatedAt.
  void apply(const std::string &Server, std::optional<double> PerSecond,
             base::Millis StatedAt, const std::string &From, base::Millis Now);
  void report(const Change &Reported) const;

  const ServerRateLimitSettings m_Settings;
  std::map<std::string, Instance> m_Instances;
  std::map<std::string, Known> m_Known;
  /// Last invalid field of each server, so that each is reported once.
  std::map<std::string, std::string> m_InvalidTexts;
  ChangeHook m_OnChange;
};

/// Returns the name of \p Type for logs.
std::string_view name(ServerRateLimits::Change::Type Type);

} // namespace corneldeck::direct

#endif
