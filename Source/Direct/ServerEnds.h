#ifndef CORNELDECK_DIRECT_SERVERENDS_H
#define CORNELDECK_DIRECT_SERVERENDS_H

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace corneldeck::direct {

/// One start of a backend server.
struct ServerStart {
  std::string m_Server;
  /// Wall-clock time of the start in milliseconds; 0 if unknown.
  std::uint64_t m_StartTime = 0;

  bool operator==(const ServerStart &) const = default;
  bool operator<(const ServerStart &Other) const {
    return std::tie(m_Server, m_StartTime) <
           std::tie(Other.m_Server, Other.m_StartTime);
  }
};

/// State of one start of a backend server.
enum class ServerLife {
  Ended,  ///< No process listens at its address any more.
  Alive,  ///< It accepts connections.
  Unknown ///< It does not respond.
};

/// Returns the name of \p Life, such as "ended".
std::string_view name(ServerLife Life);

/// Settings of ServerEnds.
struct ServerEndSettings {
  /// Time for which the result of a check that found no end is used again. Many
  /// connections to one server break at the same moment.
  base::Millis m_ResultLifetime = base::Millis(300);
  /// Maximum number of starts that are kept.
  std::size_t m_MaxStarts = 256;
};

/// Distinguishes backend servers that have ended from servers that only closed
/// or reset connections.
///
/// A connection breaks also if it is reset on the way, or if a live server cuts
/// off its work, such as the other ranks of a group that has lost one. So each
/// broken connection leads to one check whether the server still accepts
/// connections. A start that has ended never lives again.
class ServerEnds {
public:
  using Callback = std::function<void(ServerLife)>;
  /// Checks the server at an address and passes the result to the callback.
  using Check = std::function<void(const std::string &Address, Callback)>;

  ServerEnds(base::Clock Clock, Check StartCheck,
             ServerEndSettings Settings = {});

  /// Finds out whether a server has ended, after a connection to it broke.
  /// \param Decided called once with the result, at once if it is known.
  void connectionBroken(const ServerStart &Start, const std::string &Address,
                        Callback Decided);

  /// The same, but a result that found no end is not used again: a server may
  /// have ended since.
  void connectionClosed(const ServerStart &Start, const std::string &Address,
                        Callback Decided);

private:
  struct State {
    ServerLife m_Life = ServerLife::Unknown;
    bool m_IsChecking = false;
    base::Millis m_CheckedAt{};
    std::vector<Callback> m_Waiting;
  };

  void check(const ServerStart &Start, const std::string &Address,
             Callback Decided, base::Millis MaxResultAge);
  void checked(const ServerStart &Start, ServerLife Life);
  /// Removes the oldest result if there are too many.
  void limitStarts();

  const base::Clock m_Clock;
  const Check m_StartCheck;
  const ServerEndSettings m_Settings;
  std::map<ServerStart, State> m_Starts;
  /// Expires with this object, for checks that are under way.
  const std::shared_ptr<const bool> m_Lifetime =
      std::make_shared<const bool>(true);
};

} // namespace corneldeck::direct

#endif
