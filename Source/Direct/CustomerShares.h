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
  /// fifty-fifth of the requests sees several of most customers; shorter than
  /// the bursts of 7 s that it has to follow.
  base::Millis m_TimeConstant = base::seconds(4);
  /// Interval at which the counts decay and the level is computed again.
  base::Millis m_UpdateInterval{100};
  /// A customer with less than this fraction of the level is queued even if the
  /// requests ahead need longer than it may wait, because it is served first.
  double m_PreferredFraction = 0.5;
};

/// Divides the capacity of a class fairly between customers (max-min fairness).
///
/// Under overload the requests of a customer are admitted up to a level, the
/// same for all customers of the class. The level is chosen so that the
/// admitted requests together are the fraction of the arrivals that the class
/// can serve. Queued requests are served in the order of what their customers
/// were served recently. Counts requests, not tokens, so large requests are not
/// held back.
class CustomerShares {
public:
  explicit CustomerShares(CustomerSharesSettings Settings = {});

  /// Returns the number by which a customer is named below.
  std::size_t number(const std::string &Customer);

  void recordArrival(const std::string &Service, int Class,
                     std::size_t Customer, base::Millis Now);
  void recordStart(const std::string &Service, int Class, std::size_t Customer,
                   base::Millis Now);

  /// What the customers of one class have had recently.
  class ClassView;
  /// Returns the customers of a class.
  /// \param ServedFraction fraction of its arrivals that the class can serve; 1
  /// or more if it is not overloaded.
  ClassView view(const std::string &Service, int Class, double ServedFraction,
                 base::Millis Now);

private:
  struct Customer {
    double m_Arrivals = 0;
    double m_Starts = 0;
  };
  struct ServiceClass {
    std::vector<Customer> m_Customers;
    base::Millis m_UpdatedAt{};
    double m_ServedFraction = 1;
    /// Maximum starts of a customer within the time constant.
    double m_Level = std::numeric_limits<double>::infinity();
  };

  Customer &customer(const std::string &Service, int Class, std::size_t Number,
                     base::Millis Now);
  void decay(ServiceClass &Changed, base::Millis Now) const;
  static void updateLevel(ServiceClass &Changed);

  const CustomerSharesSettings m_Settings;
  std::unordered_map<std::string, std::size_t> m_Numbers;
  std::map<std::pair<std::string, int>, ServiceClass> m_Classes;
};

class CustomerShares::ClassView {
public:
  ClassView(const CustomerSharesSettings &Settings, const ServiceClass &Viewed)
      : m_Settings(Settings), m_Viewed(Viewed) {}

  /// Returns whether a request of a customer may start.
  [[nodiscard]] bool mayStart(std::size_t Number) const {
    return starts(Number) <= m_Viewed.m_Level;
  }
  /// Returns the number of starts of a customer, with older ones counted less.
  [[nodiscard]] double starts(std::size_t Number) const {
    return Number < m_Viewed.m_Customers.size()
               ? m_Viewed.m_Customers[Number].m_Starts
               : 0;
  }
  /// Returns whether a queued request of customer \p A starts before an earlier
  /// one of \p B, because A was served less.
  [[nodiscard]] bool precedes(std::size_t A, std::size_t B) const {
    return m_Viewed.m_Level < std::numeric_limits<double>::infinity() &&
           starts(A) < starts(B);
  }
  /// Returns the time until a further request of a customer may start.
  /// \param Waiting the number of its queued requests.
  [[nodiscard]] base::Millis expectedWait(std::size_t Number,
                                          std::size_t Waiting) const;
  /// Returns whether a customer was served so much less than others that its
  /// request is among the next.
  [[nodiscard]] bool isPreferred(std::size_t Number, std::size_t Waiting) const;

private:
  const CustomerSharesSettings &m_Settings;
  const ServiceClass &m_Viewed;
};

} // namespace corneldeck::direct

#endif
