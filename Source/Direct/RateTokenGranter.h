#ifndef CORNELDECK_DIRECT_RATETOKENGRANTER_H
#define CORNELDECK_DIRECT_RATETOKENGRANTER_H

#include "Base/Millis.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Settings of the tokens of servers with a rate limit. All entries must use
/// the same ones.
struct RateTokenSettings {
  /// A request for a token that is older is dropped; the entry repeats it while
  /// it has requests for the server.
  base::Millis m_RequestLifetime{250};
  /// Longest interval between two requests of an entry for tokens of one
  /// server. It starts at the lifetime of a request, and doubles while requests
  /// stay without a grant.
  base::Millis m_MaxRequestInterval{2000};
  /// An entry returns a token that it has not used for this long.
  base::Millis m_HoldTime{500};
  /// Longest time for a message to arrive. Later tokens are not used, and those
  /// that are not returned in time count as used.
  base::Millis m_TransitTime{100};
  /// Rate at which a server with a lower limit still gets requests, in requests
  /// per second. Only a response shows that the limit has ended.
  double m_MinPerSecond = 0.25;
  /// Time for which the largest number of entries is remembered. Entries that
  /// are cut off from the others do not take over their part of a limit
  /// earlier.
  base::Millis m_EntryCountRetention = base::seconds(60);
};

/// How tokens of one server are added.
struct TokenRate {
  double m_PerSecond = 0;
  /// Tokens that may be available or held at a time; none for one second's
  /// worth and two more. A token that was used still counts until its user has
  /// reported it or it can no longer be used.
  std::optional<double> m_MaxTokens = {};
  /// When the first token starts to be added to a new bucket; in the past for
  /// at once.
  base::Millis m_StartsAt = {};
};

/// Grants the tokens of the servers that are assigned to this entry.
///
/// A token permits one request to the server. Tokens of a server are added at
/// the rate of its limit. Those that are available or held by entries are
/// bounded by one second's worth and two more, so that a window of any length
/// gets no more than the limit and that bound. Entries get tokens in the order
/// of their requests.
class RateTokenGranter {
public:
  /// \param FirstNumber number of the first grant; has to be higher than the
  /// numbers of an earlier process of this entry.
  RateTokenGranter(RateTokenSettings Settings, std::uint64_t FirstNumber)
      : m_Settings(Settings), m_NextNumber(FirstNumber) {}

  /// Sets the servers whose tokens this entry grants, and the rates at which it
  /// does so. A new server starts without tokens.
  void setRates(const std::map<std::string, TokenRate> &Rates,
                base::Millis Now);

  /// Discards the buckets with a maximum number of tokens.
  void discardBounded();

  /// Returns whether this entry grants the tokens of \p Server.
  [[nodiscard]] bool isAssigned(const std::string &Server) const {
    return m_Buckets.contains(Server);
  }

  /// Queues the request of \p Entry for a token of \p Server.
  /// \param RequestedAt see RateTokenMessage.
  void request(const std::string &Server, const std::string &Entry,
               base::Millis RequestedAt, base::Millis Now);

  /// Makes a token that was returned available again.
  void returned(const std::string &Server, std::uint64_t Number,
                base::Millis Now);

  /// Records that a token was used, so that it is no longer held.
  void used(const std::string &Server, std::uint64_t Number, base::Millis Now);

  /// One granted token.
  struct Grant {
    std::string m_Server;
    std::string m_Entry;
    /// Increases with each grant.
    std::uint64_t m_Number = 0;
    base::Millis m_RequestedAt{};
  };
  /// Grants the tokens that are available to the waiting entries.
  std::vector<Grant> grantAvailable(base::Millis Now);

  /// Returns whether an entry is waiting for a token.
  [[nodiscard]] bool hasWaiting() const;

private:
  struct Waiting {
    std::string m_Entry;
    base::Millis m_RequestedAt{};
    base::Millis m_Expiry{};
  };
  struct Bucket {
    double m_PerSecond = 0;
    std::optional<double> m_MaxTokens;
    double m_Tokens = 0;
    base::Millis m_RefilledAt{};
    std::deque<Waiting> m_Waiting;
    /// Granted tokens that may still be returned: their expiry by number.
    std::map<std::uint64_t, base::Millis> m_Granted;
  };

  /// Adds the tokens since the last call, and drops expired requests.
  static void refill(Bucket &Of, base::Millis Now);

  const RateTokenSettings m_Settings;
  std::uint64_t m_NextNumber;
  std::map<std::string, Bucket> m_Buckets;
};

} // namespace corneldeck::direct

#endif
