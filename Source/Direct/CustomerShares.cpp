#include "Direct/CustomerShares.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::direct {

namespace {

/// A class that can serve more than this fraction of its arrivals is not
/// overloaded; the average does not reach 1.
constexpr double MaxServedFraction = 0.98;
/// Bounds the correction after a single request.
constexpr double MinStarts = 10;

} // namespace

CustomerShares::CustomerShares(CustomerSharesSettings Settings)
    : m_Settings(Settings) {}

std::size_t CustomerShares::number(const std::string &Customer) {
  return m_Numbers.try_emplace(Customer, m_Numbers.size()).first->second;
}

bool CustomerShares::recordArrival(const std::string &Service, int Class,
                                   std::size_t Customer, ClassLoad Load,
                                   base::Millis Now) {
  ServiceClass &Changed = m_Classes[{Service, Class}];
  if (Changed.m_Customers.size() <= Customer)
    Changed.m_Customers.resize(Customer + 1);
  if (Now - Changed.m_UpdatedAt >= m_Settings.m_UpdateInterval) {
    decay(Changed, Now);
    Changed.m_HasSlack = Load.m_HasSlack;
    updateLevel(Changed, Load.m_ServedFraction);
  }
  auto &Arrived = Changed.m_Customers[Customer];
  // The present arrival is left out: of a customer with few requests it would
  // be most of the count.
  const double Fraction = Arrived.m_Arrivals > Changed.m_Level
                              ? Changed.m_Level / Arrived.m_Arrivals
                              : 1;
  Arrived.m_Arrivals += 1;
  if (Fraction >= 1)
    return true;
  Arrived.m_Credit += Fraction;
  if (Arrived.m_Credit < 1)
    return false;
  Arrived.m_Credit -= 1;
  return true;
}

void CustomerShares::recordStart(const std::string &Service, int Class,
                                 std::size_t Customer, base::Millis Now) {
  ServiceClass &Changed = m_Classes[{Service, Class}];
  if (Changed.m_Customers.size() <= Customer)
    Changed.m_Customers.resize(Customer + 1);
  if (Now - Changed.m_UpdatedAt >= m_Settings.m_UpdateInterval)
    decay(Changed, Now);
  Changed.m_Customers[Customer].m_Starts += 1;
  Changed.m_Starts += 1;
  correct(Changed, Changed.m_HasSlack ? m_Settings.m_SlackWeight : 1);
}

void CustomerShares::decay(ServiceClass &Changed, base::Millis Now) const {
  const base::Millis Elapsed = Now - Changed.m_UpdatedAt;
  Changed.m_UpdatedAt = Now;
  const double Factor =
      std::exp(-static_cast<double>(Elapsed.count()) /
               static_cast<double>(m_Settings.m_TimeConstant.count()));
  Changed.m_Starts *= Factor;
  for (Customer &Each : Changed.m_Customers) {
    Each.m_Arrivals *= Factor;
    Each.m_Starts *= Factor;
  }
}

void CustomerShares::recordRefusal(const std::string &Service, int Class) {
  correct(m_Classes[{Service, Class}], -m_Settings.m_RefusalWeight);
}

void CustomerShares::correct(ServiceClass &Changed, double Weight) const {
  if (!Changed.m_IsOverloaded)
    return;
  const double Change = Weight * m_Settings.m_CorrectionGain /
                        std::max(Changed.m_Starts, MinStarts);
  Changed.m_Correction =
      std::clamp(Changed.m_Correction * (1 + Change),
                 m_Settings.m_MinCorrection, m_Settings.m_MaxCorrection);
}

void CustomerShares::updateLevel(ServiceClass &Changed,
                                 double ServedFraction) const {
  Changed.m_Level = std::numeric_limits<double>::infinity();
  Changed.m_ServedFraction +=
      m_Settings.m_FractionSmoothing *
      (std::min(ServedFraction, 1.0) - Changed.m_ServedFraction);
  Changed.m_IsOverloaded = Changed.m_ServedFraction < MaxServedFraction;
  if (!Changed.m_IsOverloaded) {
    Changed.m_Correction = 1;
    return;
  }
  std::vector<double> Arrivals;
  double Sum = 0;
  for (const Customer &Each : Changed.m_Customers)
    if (Each.m_Arrivals > 0) {
      Arrivals.push_back(Each.m_Arrivals);
      Sum += Each.m_Arrivals;
    }
  // A single customer may have all of the capacity.
  if (Arrivals.size() < 2)
    return;
  std::sort(Arrivals.begin(), Arrivals.end());
  double Left = Sum * Changed.m_ServedFraction * Changed.m_Correction;
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    const double Equal = Left / static_cast<double>(Arrivals.size() - Index);
    if (Equal <= Arrivals[Index]) {
      Changed.m_Level = Equal;
      return;
    }
    Left -= Arrivals[Index];
  }
}

const CustomerShares::ServiceClass *
CustomerShares::find(const std::string &Service, int Class) const {
  const auto Found = m_Classes.find({Service, Class});
  return Found == m_Classes.end() || !Found->second.m_IsOverloaded
             ? nullptr
             : &Found->second;
}

bool CustomerShares::precedes(const std::string &Service, int Class,
                              std::size_t A, std::size_t B) const {
  const ServiceClass *Found = find(Service, Class);
  return Found && Found->starts(A) < Found->starts(B);
}

bool CustomerShares::isPreferred(const std::string &Service, int Class,
                                 std::size_t Customer,
                                 std::size_t Waiting) const {
  const ServiceClass *Found = find(Service, Class);
  return Found && std::isfinite(Found->m_Level) &&
         Found->starts(Customer) + static_cast<double>(Waiting) <=
             m_Settings.m_PreferredFraction * Found->m_Level;
}

} // namespace corneldeck::direct
