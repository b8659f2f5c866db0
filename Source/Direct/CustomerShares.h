#ifndef CORNELDECK_DIRECT_CUSTOMERSHARES_H
#define CORNELDECK_DIRECT_CUSTOMERSHARES_H

#include "Base/Millis.h"

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corneldeck::direct {

/// Settings of CustomerShares.
struct CustomerSharesSettings {
  /// Time constant of the counts. Long enough that an entry with a
  /// fifty-fifth of the requests sees several of most customers.
  base::Millis m_TimeConstant = base::seconds(20);
  /// Interval at which the counts decay and the level is computed again.
  base::Millis m_UpdateInterval{100};
  /// A customer with less than this fraction of the level is queued even if the
  /// requests ahead need longer than it may wait, because it is served first.
  double m_PreferredFraction = 0.5;
  /// Smoothing factor of the served fraction, which is computed from the
  /// arrivals of one second; the average covers about two seconds.
  double m_FractionSmoothing = 0.05;
  /// Gain of the correction of the level by the outcomes of the permitted
  /// requests of one time constant, and the ratio of their decrease when one is
  /// refused to their increase when one starts: the level settles where one in
  /// ten permitted requests is refused.
  double m_CorrectionGain = 0.05;
  double m_RefusalWeight = 9;
  /// Weight of a start while the service has slack, so that the level recovers
  /// soon after it was too low.
  double m_SlackWeight = 3;
  /// Bounds of the correction.
  double m_MinCorrection = 0.5;
  double m_MaxCorrection = 2;
};

/// Divides the capacity of a class fairly between customers (max-min fairness).
///
/// Under overload there is a level of arrivals, the same for all customers of
/// the class, up to which they are admitted. Of a customer above it, the
/// fraction of the requests is admitted that the level is of its arrivals
/// (core-stateless fair queueing), so that an entry needs to know only its own
/// requests, however few of each customer. The level is chosen so that the
/// requests admitted are the fraction of the arrivals that the class can serve,
/// and corrected by whether they were served.
/// Queued requests are served in the order of what their customers were served
/// recently. Counts requests, not tokens, so large requests are not held back.
class CustomerShares {
public:
  explicit CustomerShares(CustomerSharesSettings Settings = {});

  /// Returns the number by which a customer is named below.
  std::size_t number(const std::string &Customer);

  /// State of a class over all entries.
  struct ClassLoad {
    /// Fraction of its arrivals that it can serve; 1 or more if it is not
    /// overloaded.
    double m_ServedFraction = 1;
    /// Whether clearly less than the capacity of the service is in use.
    bool m_HasSlack = false;
  };

  /// Counts an arrival.
  /// \returns whether the share of the customer permits it.
  bool recordArrival(const std::string &Service, int Class,
                     std::size_t Customer, ClassLoad Load, base::Millis Now);
  /// Counts a request that starts, and corrects the level.
  void recordStart(const std::string &Service, int Class, std::size_t Customer,
                   base::Millis Now);

  /// Corrects the level after a permitted request was refused.
  void recordRefusal(const std::string &Service, int Class);

  /// Returns whether a queued request of customer \p A starts before an earlier
  /// one of \p B, because A was served less.
  [[nodiscard]] bool precedes(const std::string &Service, int Class,
                              std::size_t A, std::size_t B) const;
  /// Returns whether a customer was served so much less than others that its
  /// request is among the next.
  /// \param Waiting the number of its queued requests.
  [[nodiscard]] bool isPreferred(const std::string &Service, int Class,
                                 std::size_t Customer,
                                 std::size_t Waiting) const;

private:
  struct Customer {
    double m_Arrivals = 0;
    double m_Starts = 0;
    /// Sum of the admitted fractions less the admitted requests.
    double m_Credit = 0.5;
  };
  struct ServiceClass {
    std::vector<Customer> m_Customers;
    base::Millis m_UpdatedAt{};
    /// Arrivals of a customer within the time constant that are admitted.
    double m_Level = std::numeric_limits<double>::infinity();
    double m_Correction = 1;
    bool m_IsOverloaded = false;
    bool m_HasSlack = false;
    /// Sum of the starts of all customers.
    double m_Starts = 0;
    /// Moving average of the fraction of its arrivals that the class can serve.
    double m_ServedFraction = 1;

    [[nodiscard]] double starts(std::size_t Customer) const {
      return Customer < m_Customers.size() ? m_Customers[Customer].m_Starts : 0;
    }
  };

  /// Corrects the level up, or down if \p Weight is negative.
  void correct(ServiceClass &Changed, double Weight) const;
  void decay(ServiceClass &Changed, base::Millis Now) const;
  void updateLevel(ServiceClass &Changed, double ServedFraction) const;
  [[nodiscard]] const ServiceClass *find(const std::string &Service,
                                         int Class) const;

  const CustomerSharesSettings m_Settings;
  std::unordered_map<std::string, std::size_t> m_Numbers;
  std::map<std::pair<std::string, int>, ServiceClass> m_Classes;
};

} // namespace corneldeck::direct

#endif
