#ifndef CORNELDECK_ADMISSION_LIMITSHARES_H
#define CORNELDECK_ADMISSION_LIMITSHARES_H

#include "Base/Error.h"
#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::admission {

/// Identifies a customer's limit at a service.
struct LimitKey {
  std::string m_Service;
  std::string m_Customer;

  bool operator<(const LimitKey &Other) const {
    return m_Service != Other.m_Service ? m_Service < Other.m_Service
                                        : m_Customer < Other.m_Customer;
  }
};

/// Settings of LimitShares.
struct LimitSettings {
  /// Duration of a grant to a peer, from sending it.
  base::Millis m_GrantLifetime{1'000};
  /// The receiver ends a grant earlier by this to allow for clock drift.
  base::Millis m_GrantSafetyMargin{10};
  /// The demand of a peer without a message for this long counts as zero.
  base::Millis m_PeerTimeout{1'000};
  /// Time constant of the moving average of the demand.
  base::Millis m_DemandWindow{500};
  /// Unused share accumulates for this long, to allow bursts.
  base::Millis m_BurstWindow{200};
  base::Millis m_MinRetryAfter{5};
  base::Millis m_MaxRetryAfter = base::seconds(60);
};

/// The state of one limit in a LimitGossip message.
struct LimitUse {
  LimitKey m_Key;
  /// Requested and admitted work per second.
  double m_Demand = 0;
  double m_Admitted = 0;
  /// Part of the sender's share, in work per second, that the receiver may use.
  double m_Granted = 0;
};

/// Message that an entry sends to each peer several times per second.
struct LimitGossip {
  /// Sequence number of the message; increases with each one to a receiver.
  std::uint64_t m_Sequence = 0;
  /// Highest sequence number received from the receiver; 0 for none. The
  /// receiver counts the lifetime of the grants from when it sent that message.
  std::uint64_t m_AcknowledgedSequence = 0;
  std::vector<LimitUse> m_Uses;
};

/// Enforces one entry's share of limits that apply to all entries together.
///
/// With a limit of L per second and N entries, each entry has a base share of
/// L/N. An entry whose demand is below its share grants the rest to entries
/// with more demand, for a limited time. The granter does not use a grant for
/// its whole lifetime, starting when it is sent; the receiver counts the
/// lifetime from when it sent the message that the grant acknowledges. Lost or
/// delayed messages therefore cannot make the shares add up to more than L, and
/// an entry without contact to its peers is back at its base share once its
/// grants have expired. In any interval T all entries together admit at most
/// L x T + L x m_BurstWindow + N x max(1, largest request), whatever happens to
/// the messages. A restarted entry, which has lost the grants it gave, may add
/// its base share for one grant lifetime.
class LimitShares {
public:
  /// \param FirstSequence first sequence number; must be above all those used
  /// by an earlier process with the same name, for example the start time.
  explicit LimitShares(const LimitSettings &Settings,
                       std::uint64_t FirstSequence = 1);

  /// Sets or changes a limit.
  /// \param PerSecond work per second over all entries.
  /// \param Entries number of entries that share the limit; must be the same at
  /// all of them.
  void setLimit(base::Millis Now, const LimitKey &Key, double PerSecond,
                std::uint32_t Entries);

  /// Removes a limit; all of the customer's work is admitted from now on.
  void removeLimit(const LimitKey &Key);

  /// Admits work and charges it to the limit.
  /// \returns LimitExceeded, with the time until \p Work can be admitted, if
  /// the limit is used up.
  base::Result<void> admit(base::Millis Now, const LimitKey &Key, double Work);

  /// \returns the next message to \p Peer; must be sent several times per
  /// second.
  LimitGossip makeGossip(base::Millis Now, const std::string &Peer);

  /// Applies a message from \p Peer; ignores it if a newer one was received.
  void onGossip(base::Millis Now, const std::string &Peer,
                const LimitGossip &Message);

  /// Removes a peer that has left permanently; grants to it stay in force until
  /// they expire.
  void removePeer(base::Millis Now, const std::string &Peer);

  /// \returns the current share in work per second; 0 for an unknown limit.
  [[nodiscard]] double share(base::Millis Now, const LimitKey &Key) const;

private:
  /// A part of a share granted to or by a peer.
  struct Grant {
    double m_PerSecond = 0;
    base::Millis m_Until{};
  };
  struct PeerUse {
    double m_Demand = 0;
    bool m_HasMessage = false;
    base::Millis m_LastMessageAt{};
    Grant m_Received;
    /// Unexpired grants to the peer.
    std::vector<Grant> m_GrantsGiven;
  };
  struct Limit {
    double m_PerSecond = 0;
    std::uint32_t m_Entries = 1;
    double m_BucketTokens = 0;
    base::Millis m_RefilledAt{};
    double m_Demand = 0;
    double m_Admitted = 0;
    base::Millis m_DecayedAt{};
    std::map<std::string, PeerUse> m_Peers;
  };
  struct Peer {
    std::uint64_t m_LastSequence = 0;
    /// Send times of messages that the peer has not acknowledged.
    std::map<std::uint64_t, base::Millis> m_SentAt;
  };

  static double baseShare(const Limit &Shared);
  static double activeGrant(base::Millis Now, const PeerUse &Use);
  static double minShare(base::Millis From, base::Millis To,
                         const Limit &Shared);
  [[nodiscard]] double burst(const Limit &Shared, double Share) const;
  void refillTokens(base::Millis Now, Limit &Shared) const;
  void decayDemand(base::Millis Now, Limit &Shared) const;
  [[nodiscard]] bool isFresh(base::Millis Now, const PeerUse &Use) const;
  double targetGrant(base::Millis Now, const Limit &Shared,
                     const PeerUse &To) const;
  double grant(base::Millis Now, Limit &Shared,
               const std::string &PeerName) const;
  [[nodiscard]] base::Millis
  waitForTokens(base::Millis Now, const Limit &Shared, double Missing) const;

  LimitSettings m_Settings;
  std::uint64_t m_NextSequence;
  std::map<LimitKey, Limit> m_Limits;
  std::map<std::string, Peer> m_Peers;
};

} // namespace corneldeck::admission

#endif
