#include "Catalogue/Entry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace corneldeck::catalogue {

namespace {

constexpr std::array<std::pair<Kind, std::string_view>, 2> KindNames = {
    {{Kind::Model, "model"}, {Kind::Service, "service"}}};

constexpr std::array<std::pair<ServiceClass, std::string_view>, 3> ClassNames =
    {{{ServiceClass::Interactive, "interactive"},
      {ServiceClass::Standard, "standard"},
      {ServiceClass::Batch, "batch"}}};

template <typename Table, typename Value>
std::string_view nameIn(const Table &Names, Value Wanted) {
  for (const auto &[Key, Name] : Names)
    if (Key == Wanted)
      return Name;
  return "unknown";
}

template <typename Value, typename Table>
std::optional<Value> valueIn(const Table &Names, std::string_view Wanted) {
  for (const auto &[Key, Name] : Names)
    if (Name == Wanted)
      return Key;
  return std::nullopt;
}

} // namespace

std::string_view name(Kind Value) { return nameIn(KindNames, Value); }

std::string_view name(ServiceClass Value) { return nameIn(ClassNames, Value); }

std::optional<Kind> kindFromName(std::string_view Name) {
  return valueIn<Kind>(KindNames, Name);
}

std::optional<ServiceClass> serviceClassFromName(std::string_view Name) {
  return valueIn<ServiceClass>(ClassNames, Name);
}

bool Entry::isIdempotent(std::string_view Path) const {
  const bool Excepted = std::any_of(
      m_IdempotencyExceptions.begin(), m_IdempotencyExceptions.end(),
      [&](const std::string &Prefix) { return Path.starts_with(Prefix); });
  return Excepted ? !m_IdempotentByDefault : m_IdempotentByDefault;
}

bool Entry::allowsRebalancing() const {
  return !m_BiddingWindow.m_Open || m_BiddingWindow.m_Rebalancing;
}

const CustomerLimit *Entry::customerLimit(std::string_view Customer) const {
  const auto Found = std::find_if(
      m_Customers.begin(), m_Customers.end(),
      [&](const CustomerLimit &Limit) { return Limit.m_Name == Customer; });
  return Found == m_Customers.end() ? nullptr : &*Found;
}

} // namespace corneldeck::catalogue
