#ifndef CORNELDECK_ADMISSION_LIMITSHARES_H
#define CORNELDECK_ADMISSION_LIMITSHARES_H

#include "Base/Error.h"
#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::admission {

/// Names one limit: a customer's at a service.
struct LimitKey {
  std::string m_Service;
  std::string m_Customer;

  bool operator<(const LimitKey &Other) const {
    return m_Service != Other.m_Service ? m_Service < Other.m_Service
                                        : m_Customer < Other.m_Customer;
  }
};

/// How entries share limits.
struct LimitSettings {
  /// How long a part of a share that was granted to a peer stays granted.
  base::Millis m_GrantLifetime{1'000};
  /// The receiver ends a grant earlier by this, for clocks of unequal speed.
  base::Millis m_GrantSafetyMargin{10};
  /// A peer's demand counts as zero after this silence.
  base::Millis m_PeerTimeout{1'000};
  /// Demand is averaged over about this time.
  base::Millis m_DemandWindow{500};
  /// Unused share is kept for this long, for bursts.
  base::Millis m_BurstWindow{200};
  base::Millis m_MinRetryAfter{5};
  base::Millis m_MaxRetryAfter = base::seconds(60);
};

/// One limit in a LimitGossip.
struct LimitUse {
  LimitKey m_Key;
  /// Work asked and let through, a second.
  double m_Demand = 0;
  double m_Admitted = 0;
  /// Part of the sender's share that the receiver may use, a second.
  double m_Granted = 0;
};

/// What one entry tells another several times a second.
struct LimitGossip {
  /// Number of this message among those to this receiver.
  std::uint64_t m_Sequence = 0;
  /// Highest number had from the receiver; 0 for none. The grants count from
  /// when the receiver sent that one.
  std::uint64_t m_AcknowledgedSequence = 0;
  std::vector<LimitUse> m_Uses;
};

/// One entry's part in limits that hold over all entries together.
///
/// A limit of L a second over N entries gives each a base share of L/N. An
/// entry with less demand than its share grants the rest to entries with more,
/// for a limited time. The granter leaves a grant alone for its whole life
/// from sending it; the receiver counts the life from its own earlier message
/// that the grant answers. So no lost or late message makes the shares sum up
/// to more than L, and an entry that hears nobody is back at its base share
/// when its grants end. Over any time T all entries let through at most
/// L x T + L x m_BurstWindow + N x max(1, largest request), whatever the
/// messages do. A restarted entry, which forgets what it granted, may add its
/// base share for one grant life.
class LimitShares {
public:
  /// \param FirstSequence starts the message numbers; above all that an
  /// earlier process under the same name used, such as the start time.
  explicit LimitShares(const LimitSettings &Settings,
                       std::uint64_t FirstSequence = 1);

  /// Sets or changes a limit.
  /// \param PerSecond work a second over all entries.
  /// \param Entries how many entries share it, the same number at all of them.
  void setLimit(base::Millis Now, const LimitKey &Key, double PerSecond,
                std::uint32_t Entries);

  /// Lets all of this customer's work through from now on.
  void removeLimit(const LimitKey &Key);

  /// Lets work through and charges it.
  /// \returns LimitExceeded with the time until there is room for \p Work.
  base::Result<void> admit(base::Millis Now, const LimitKey &Key, double Work);

  /// \returns the next message to \p Peer; to be sent several times a second.
  LimitGossip makeGossip(base::Millis Now, const std::string &Peer);

  /// Takes a message of \p Peer; old ones are ignored.
  void onGossip(base::Millis Now, const std::string &Peer,
                const LimitGossip &Message);

  /// Drops a peer that has left for good; grants to it run out by themselves.
  void removePeer(base::Millis Now, const std::string &Peer);

  /// \returns the present share, in work a second; 0 for an unknown limit.
  [[nodiscard]] double share(base::Millis Now, const LimitKey &Key) const;

private:
  /// A part of a share, at the granter or the receiver.
  struct Grant {
    double m_PerSecond = 0;
    base::Millis m_Until{};
  };
  struct PeerUse {
    double m_Demand = 0;
    bool m_HasMessage = false;
    base::Millis m_LastMessageAt{};
    Grant m_Received;
    /// Own grants to the peer, each until its end.
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
    /// When messages not yet answered were sent.
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
