#include "Direct/CustomerShares.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::direct {

CustomerShares::CustomerShares(CustomerSharesSettings Settings)
    : m_Settings(Settings) {}

std::size_t CustomerShares::number(const std::string &Customer) {
  return m_Numbers.try_emplace(Customer, m_Numbers.size()).first->second;
}

CustomerShares::Customer &CustomerShares::customer(const std::string &Service,
                                                   int Class,
                                                   std::size_t Number,
                                                   base::Millis Now) {
  ServiceClass &Changed = m_Classes[{Service, Class}];
  decay(Changed, Now);
  if (Changed.m_Customers.size() <= Number)
    Changed.m_Customers.resize(Number + 1);
  return Changed.m_Customers[Number];
}

void CustomerShares::recordArrival(const std::string &Service, int Class,
                                   std::size_t Customer, base::Millis Now) {
  customer(Service, Class, Customer, Now).m_Arrivals += 1;
}

void CustomerShares::recordStart(const std::string &Service, int Class,
                                 std::size_t Customer, base::Millis Now) {
  customer(Service, Class, Customer, Now).m_Starts += 1;
}

CustomerShares::ClassView CustomerShares::view(const std::string &Service,
                                               int Class, double ServedFraction,
                                               base::Millis Now) {
  ServiceClass &Viewed = m_Classes[{Service, Class}];
  Viewed.m_ServedFraction = ServedFraction;
  decay(Viewed, Now);
  if (ServedFraction >= 1)
    Viewed.m_Level = std::numeric_limits<double>::infinity();
  return {m_Settings, Viewed};
}

void CustomerShares::decay(ServiceClass &Changed, base::Millis Now) const {
  const base::Millis Elapsed = Now - Changed.m_UpdatedAt;
  if (Elapsed < m_Settings.m_UpdateInterval)
    return;
  Changed.m_UpdatedAt = Now;
  const double Factor =
      std::exp(-static_cast<double>(Elapsed.count()) /
               static_cast<double>(m_Settings.m_TimeConstant.count()));
  for (Customer &Each : Changed.m_Customers) {
    Each.m_Arrivals *= Factor;
    Each.m_Starts *= Factor;
  }
  updateLevel(Changed);
}

void CustomerShares::updateLevel(ServiceClass &Changed) {
  Changed.m_Level = std::numeric_limits<double>::infinity();
  if (Changed.m_ServedFraction >= 1)
    return;
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
  double Left = Sum * Changed.m_ServedFraction;
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    const double Equal = Left / static_cast<double>(Arrivals.size() - Index);
    if (Equal <= Arrivals[Index]) {
      Changed.m_Level = Equal;
      return;
    }
    Left -= Arrivals[Index];
  }
}

base::Millis
CustomerShares::ClassView::expectedWait(std::size_t Number,
                                        std::size_t Waiting) const {
  const double Before = starts(Number) + static_cast<double>(Waiting);
  if (Before <= m_Viewed.m_Level)
    return base::Millis(0);
  // Starts are forgotten at the rate of the level per time constant.
  const double Level = std::max(m_Viewed.m_Level, 0.01);
  return base::Millis(static_cast<std::int64_t>(
      std::min((Before - Level) / Level, 1000.0) *
      static_cast<double>(m_Settings.m_TimeConstant.count())));
}

bool CustomerShares::ClassView::isPreferred(std::size_t Number,
                                            std::size_t Waiting) const {
  return std::isfinite(m_Viewed.m_Level) &&
         starts(Number) + static_cast<double>(Waiting) <=
             m_Settings.m_PreferredFraction * m_Viewed.m_Level;
}

} // namespace corneldeck::direct
