#ifndef CORNELDECK_DIRECT_WARMUPLIMITS_H
#define CORNELDECK_DIRECT_WARMUPLIMITS_H

#include "Base/Millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::direct {

/// How the servers of a service warm up.
struct WarmUpRule {
  /// Time for which a server is cold after its start.
  base::Millis m_Duration{};
  /// Requests per second that a cold server tolerates.
  double m_PerSecond = 0;

  /// Returns whether cold servers have a bound.
  [[nodiscard]] bool isBounded() const {
    return m_Duration > base::Millis(0) && m_PerSecond > 0;
  }
  bool operator==(const WarmUpRule &) const = default;
};

/// The bound of the requests that reach a cold server in one second: its
/// rate times the overshoot, and the tolerance. The platform's defaults.
struct WarmUpBounds {
  double m_Overshoot = 1.5;
  double m_Tolerance = 5;
};

/// The backend servers that are cold, and the rates that they tolerate.
///
/// A server is cold for the time that its record names. One whose record names
/// none is cold for the duration of its service's rule after its start, and one
/// whose zone was evacuated after the end of the evacuation, until its
/// record changes and says otherwise.
class WarmUpLimits {
public:
  /// What the list of servers says of one server.
  struct Listed {
    std::string m_Service;
    std::string m_Zone;
    std::string m_Address;
    /// Wall-clock time of its start in milliseconds; 0 if unknown.
    std::uint64_t m_StartTime = 0;
    /// Remaining time when the record was read; none if it names none.
    std::optional<base::Millis> m_Remaining;
    /// Number of a record that names a time left, which may be named again.
    std::uint64_t m_Record = 0;

    bool operator==(const Listed &) const = default;
  };

  /// Why a server is cold.
  enum class Cause {
    Record, ///< Its record names a time left.
    Start,  ///< It started recently, and its record names no time.
    Return  ///< Its zone was evacuated until recently.
  };

  /// A server became cold or is warm again.
  struct Change {
    std::string m_Server;
    std::string m_Service;
    std::string m_Zone;
    bool m_IsCold = false;
    Cause m_Cause = Cause::Record;
    base::Millis m_Remaining{};
    double m_PerSecond = 0;
  };
  using ChangeHook = std::function<void(const Change &)>;

  explicit WarmUpLimits(WarmUpBounds Bounds = {}) : m_Bounds(Bounds) {}

  /// Sets the function that is called after each change.
  void onChange(ChangeHook OnChange) { m_OnChange = std::move(OnChange); }

  /// Sets the rules of the services by name.
  void setRules(std::map<std::string, WarmUpRule> Rules, base::Millis Now);

  /// Sets the listed servers by id.
  /// \param WallTime wall-clock time in milliseconds.
  void replaceServers(const std::map<std::string, Listed> &Servers,
                      base::Millis Now, std::uint64_t WallTime);

  /// Counts the servers of \p Zone as cold, since its evacuation has ended.
  void zoneReturned(std::string_view Zone, base::Millis Now);

  /// Ends the warm-up of servers whose time is over. Called several times a
  /// second.
  void update(base::Millis Now);

  /// Returns the rate that a server tolerates, in requests per second; nothing
  /// if it is not cold or has no bound.
  [[nodiscard]] std::optional<double> limit(const std::string &Server) const;
  /// Returns the cold servers with a bound and the rates that they tolerate.
  [[nodiscard]] const std::map<std::string, double> &coldServers() const {
    return m_Cold;
  }
  /// Returns the start time of a listed server; 0 if unknown.
  [[nodiscard]] std::uint64_t startTime(const std::string &Server) const;

  /// Returns the tokens that may exist at a time for a server that tolerates
  /// \p PerSecond.
  [[nodiscard]] double maxTokens(double PerSecond) const;
  /// Returns the tokens that are added per second for a server that tolerates
  /// \p PerSecond: that rate, or what the bound leaves beside the tokens that
  /// may exist, if it is less.
  [[nodiscard]] double tokensPerSecond(double PerSecond) const;

private:
  struct State {
    Listed m_Listed;
    base::Millis m_StartedAt{};
    /// When the time ends that the record names.
    base::Millis m_NamedUntil{};
    /// When an evacuation of its zone ended.
    std::optional<base::Millis> m_ReturnedAt;
    bool m_IsCold = false;
  };
  struct Span {
    base::Millis m_Until{};
    Cause m_Cause = Cause::Record;
  };

  /// Returns until when a server is cold.
  [[nodiscard]] static Span coldSpan(const State &Of, const WarmUpRule &Rule);
  [[nodiscard]] const WarmUpRule *rule(const State &Of) const;

  const WarmUpBounds m_Bounds;
  std::map<std::string, WarmUpRule> m_Rules;
  std::map<std::string, State> m_States;
  std::map<std::string, double> m_Cold;
  ChangeHook m_OnChange;
};

/// Returns the name of \p Cause for logs.
std::string_view name(WarmUpLimits::Cause Cause);

} // namespace corneldeck::direct

#endif
