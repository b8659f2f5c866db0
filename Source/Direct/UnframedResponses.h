#ifndef CORNELDECK_DIRECT_UNFRAMEDRESPONSES_H
#define CORNELDECK_DIRECT_UNFRAMEDRESPONSES_H

#include "Base/Millis.h"
#include "Direct/PromptQuarantine.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// A successful response that ended with its connection, without a length or
/// chunks.
struct UnframedResponse {
  ServerStart m_Start;
  std::string m_Service;
  PromptParts m_Parts;
  base::Millis m_EndedAt{};
  std::string m_Address;
  /// Whether the request may be the cause if the server has ended.
  bool m_MayBeCause = true;
};

/// Settings of UnframedResponses.
struct UnframedResponseSettings {
  /// Time until the port is checked again: a process that ends may close its
  /// connections some time before its port. Far above the time that this takes
  /// an operating system, far below the time between two starts.
  base::Millis m_SecondCheck = base::Millis(100);
  /// Time after which a record shows that the server that responds has started
  /// since: the records are read each 500 ms and may be 1,200 ms old.
  base::Millis m_ConfirmationTime = base::Millis(2000);
  /// Time after which a response is forgotten. Servers that crash are back,
  /// with a new record, after some seconds.
  base::Millis m_MaxWait = base::Millis(10'000);
  /// Maximum number of responses that wait; the oldest is forgotten.
  std::size_t m_MaxResponses = 512;
};

/// Decides whether responses that ended with their connections show that the
/// parts of their prompts are served.
///
/// The end of such a response looks the same whether the server has completed
/// it or has crashed. If the port of the server is closed directly or shortly
/// afterwards, it has ended. An open port alone does not show that it lives:
/// another process may hold it. With a later start in its record, the server
/// has ended. If it responds to a later request, and its record has the same
/// start after that, it has served the request. Until then nothing is recorded.
class UnframedResponses {
public:
  /// Returns the start time in a server's record; nothing if it is not listed.
  using StartTime =
      std::function<std::optional<std::uint64_t>(const std::string &Server)>;
  using Decided = std::function<void(const UnframedResponse &)>;
  /// Checks the port of a server.
  using Check =
      std::function<void(const UnframedResponse &, ServerEnds::Callback)>;

  /// \param OnServed called for a response whose server has not ended.
  /// \param OnEnded called for a response whose server has ended.
  UnframedResponses(StartTime Listed, Check CheckPort, Decided OnServed,
                    Decided OnEnded, UnframedResponseSettings Settings = {});

  /// Records the result of a check of the port that began after the end of a
  /// response.
  void checked(UnframedResponse Ended, ServerLife Life);

  /// Records that a server has accepted a request that was sent at \p SentAt.
  void recordResponse(const ServerStart &Start, base::Millis SentAt,
                      base::Millis Now);

  /// Checks again the ports of the responses whose time has come, and decides
  /// on those whose server's record shows a later start.
  void decide(base::Millis Now);

  /// Returns the number of responses that are not decided.
  [[nodiscard]] std::size_t size() const { return m_Waiting.size(); }

private:
  struct Waiting {
    UnframedResponse m_Response;
    bool m_IsCheckedAgain = false;
    /// When the server responded to a later request first.
    std::optional<base::Millis> m_RespondedAt;
  };

  void wait(Waiting Added);
  void checkAgain(Waiting Due);
  void ended(const UnframedResponse &Response) const;

  const StartTime m_Listed;
  const Check m_CheckPort;
  const Decided m_OnServed;
  const Decided m_OnEnded;
  const UnframedResponseSettings m_Settings;
  std::vector<Waiting> m_Waiting;
  /// Expires with this object, for checks that are under way.
  const std::shared_ptr<const bool> m_Lifetime =
      std::make_shared<const bool>(true);
};

} // namespace corneldeck::direct

#endif
