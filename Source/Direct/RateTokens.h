#ifndef CORNELDECK_DIRECT_RATETOKENS_H
#define CORNELDECK_DIRECT_RATETOKENS_H

#include "Direct/RateTokenGranter.h"
#include "Direct/ServerRateLimits.h"
#include "Direct/WarmUpLimits.h"

#include <optional>

namespace corneldeck::direct {

/// A message about the tokens of one server.
struct RateTokenMessage {
  enum class Kind {
    Request, ///< Asks for a token; carries the limit that the sender knows.
    Grant,
    Return, ///< Returns a token that was not used.
    Used    ///< Reports that a token of a cold server was used.
  };
  Kind m_Kind = Kind::Request;
  RateLimitStatement m_Limit;
  /// Number of the token; 0 for a request.
  std::uint64_t m_Number = 0;
  /// When the token was requested, on the clock of the entry that requested it;
  /// a grant repeats it.
  base::Millis m_RequestedAt{};
};

/// The tokens that permit this entry's requests to servers with a rate limit.
///
/// The tokens of each server are granted by one entry, which rendezvous hashing
/// selects among the live ones, so that the limit holds over all entries
/// without an agreement between them. An entry requests a token when it has a
/// request for the server, and returns it if it is not used. While entries
/// disagree on who is alive, two of them may grant tokens of the same server; a
/// new granter starts without tokens, and each grants only the live entries'
/// part of the limit.
class RateTokens {
public:
  /// Sends a message to another entry; it may be lost.
  using SendHook =
      std::function<void(const std::string &Entry, const RateTokenMessage &)>;

  /// \param Limits has to outlive this object.
  /// \param FirstNumber see RateTokenGranter.
  RateTokens(ServerRateLimits &Limits, RateTokenSettings Settings,
             std::uint64_t FirstNumber)
      : m_Limits(Limits), m_Settings(Settings),
        m_Granter(Settings, FirstNumber) {}

  /// Applies the limits of cold servers, too.
  /// \param WarmUp has to outlive this object.
  void useWarmUp(const WarmUpLimits &WarmUp) { m_WarmUp = &WarmUp; }

  void onSend(SendHook Send) { m_Send = std::move(Send); }
  /// Sets the function that is called when a token has been received. It must
  /// not use a token before it returns.
  void onReceived(std::function<void()> OnReceived) {
    m_OnReceived = std::move(OnReceived);
  }

  /// Sets the entries that accept requests.
  /// \param Self name of this entry.
  /// \param Live names of the live entries, including this one if it accepts
  /// requests.
  void setEntries(const std::string &Self, std::vector<std::string> Live,
                  base::Millis Now);

  /// Returns the limit of \p Server in requests per second: the lower one of
  /// that which it names and that of a cold server; nothing if it has none.
  [[nodiscard]] std::optional<double> limit(const std::string &Server) const;

  /// Returns whether a request may be sent to \p Server: it has no limit, or
  /// this entry has a token.
  [[nodiscard]] bool permits(const std::string &Server) const;
  /// The same at the time \p Now. The token of a cold server that has expired
  /// while this process did not run does not permit a request.
  [[nodiscard]] bool permits(const std::string &Server, base::Millis Now) const;

  /// Uses the token of \p Server, if it has a limit. Requests the next one if
  /// this entry needs them often.
  void use(const std::string &Server, base::Millis Now);

  /// Requests a token of \p Server.
  /// \returns whether a request was sent; false if one is pending, the server
  /// has no limit, or this entry has a token.
  bool request(const std::string &Server, base::Millis Now);

  /// Handles a message of the entry \p From.
  void receive(const std::string &From, const RateTokenMessage &Message,
               base::Millis Now);

  /// Returns unused tokens, drops expired limits and grants available tokens.
  /// Called several times a second, and more often while hasWaiting().
  void update(base::Millis Now);

  /// Returns whether entries wait for tokens of this entry.
  [[nodiscard]] bool hasWaiting() const { return m_Granter.hasWaiting(); }

  /// Returns the entry that grants the tokens of \p Server; empty if there is
  /// none.
  [[nodiscard]] const std::string &granter(const std::string &Server) const;

  /// Returns whether this entry grants the tokens of \p Server.
  [[nodiscard]] bool isGranter(const std::string &Server) const;

  /// Numbers of tokens since the start, for the metrics.
  struct Counts {
    std::uint64_t m_Requested = 0;
    std::uint64_t m_Granted = 0;
    std::uint64_t m_Used = 0;
    std::uint64_t m_Returned = 0;
  };
  [[nodiscard]] const Counts &counts() const { return m_Counts; }

private:
  struct Token {
    std::uint64_t m_Number = 0;
    base::Millis m_Expiry{};
  };
  struct ServerTokens {
    std::optional<Token> m_Token;
    /// When the last request was sent; none after its grant.
    std::optional<base::Millis> m_RequestedAt;
    /// Time from the last request to the next one.
    base::Millis m_RequestInterval{};
    std::optional<base::Millis> m_UsedAt;
    /// Granter and number of the last grant, to drop duplicates.
    std::string m_Granter;
    std::uint64_t m_LastNumber = 0;
  };

  [[nodiscard]] std::optional<double>
  coldLimit(const std::string &Server) const;
  /// Returns the limit of a server as a statement; nothing if it has no limit.
  /// That of a server that is only cold names no limit.
  [[nodiscard]] std::optional<RateLimitStatement>
  statement(const std::string &Server, base::Millis Now) const;
  /// Adds the rates of the cold servers whose tokens this entry grants.
  void addColdRates(std::map<std::string, TokenRate> &Rates,
                    base::Millis Now) const;
  /// Updates the part of the limits of cold servers that this entry grants.
  void updateColdPart(base::Millis Now);
  /// Starts as a new granter of cold servers if this process has not run for so
  /// long that others may have replaced it.
  void checkFreeze(base::Millis Now);
  void receiveGrant(const std::string &From, const RateTokenMessage &Message,
                    base::Millis Now);
  void returnToken(const std::string &Server, std::uint64_t Number,
                   base::Millis Now);
  void send(const std::string &Entry, const RateTokenMessage &Message,
            base::Millis Now);
  void grantAvailable(base::Millis Now);
  /// Sets the granter's rates from the known limits.
  void updateRates(base::Millis Now);

  ServerRateLimits &m_Limits;
  /// Null if cold servers have no limits.
  const WarmUpLimits *m_WarmUp = nullptr;
  const RateTokenSettings m_Settings;
  RateTokenGranter m_Granter;
  SendHook m_Send;
  std::function<void()> m_OnReceived;
  std::string m_Self;
  std::vector<std::string> m_Live;
  /// Results of granter() for m_Live.
  mutable std::map<std::string, std::string> m_GranterCache;
  /// Largest number of live entries within the retention.
  std::size_t m_MaxEntries = 1;
  base::Millis m_MaxEntriesAt{};
  /// When the live entries changed last.
  base::Millis m_LiveChangedAt{};
  /// The live entries' part of the limits of cold servers. It falls at once and
  /// rises once the live entries have not changed for some time.
  double m_ColdPart = 1;
  std::optional<base::Millis> m_UpdatedAt;
  std::map<std::string, ServerTokens> m_Servers;
  Counts m_Counts;
};

} // namespace corneldeck::direct

#endif
