#ifndef CORNELDECK_DIRECT_SERVERRATELIMITS_H
#define CORNELDECK_DIRECT_SERVERRATELIMITS_H

#include "Base/Millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

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

/// The rate limits that backend servers name in their responses.
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
    enum class Type { Learned, Changed, Ended, Invalid };
    Type m_Type = Type::Learned;
    std::string m_Server;
    /// Requests per second; not set for Invalid.
    double m_PerSecond = 0;
    /// Value of an invalid field.
    std::string m_Text = {};
  };
  using ChangeHook = std::function<void(const Change &)>;

  /// Sets the function that is called for each change.
  void onChange(ChangeHook OnChange) { m_OnChange = std::move(OnChange); }

  /// Sets the listed servers by id. The limits of servers that have left or
  /// restarted are forgotten.
  void replaceServers(std::map<std::string, Instance> Instances,
                      base::Millis Now);

  /// Updates the limit of a server with a response to this entry.
  /// \param IsConclusive whether a response without a limit ends the limit.
  /// \param SentAt when the request was sent. A response to a request that was
  /// sent before the limit was last named does not end the limit.
  void recordResponse(const std::string &Server, const RateLimitField &Field,
                      bool IsConclusive, base::Millis SentAt, base::Millis Now);

private:
  struct Limit {
    double m_PerSecond = 0;
    /// When the server last named the limit.
    base::Millis m_NamedAt{};
  };

  void report(const Change &Reported) const;

  std::map<std::string, Instance> m_Instances;
  std::map<std::string, Limit> m_Limits;
  /// Last invalid field of each server, so that each is reported once.
  std::map<std::string, std::string> m_InvalidTexts;
  ChangeHook m_OnChange;
};

/// Returns the name of \p Type for logs.
std::string_view name(ServerRateLimits::Change::Type Type);

} // namespace corneldeck::direct

#endif
