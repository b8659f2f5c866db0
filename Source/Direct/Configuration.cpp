#include "Direct/Configuration.h"

#include <cctype>

namespace corneldeck::direct {

std::string_view name(RetryPolicy Policy) {
  switch (Policy) {
  case RetryPolicy::AtMostOnce:
    return "at-most-once";
  case RetryPolicy::Idempotent:
    return "idempotent";
  case RetryPolicy::Resumable:
    return "resumable";
  }
  return "unknown";
}

std::string routeLookupKey(std::string_view Host, std::string_view Prefix) {
  std::string Key;
  Key.reserve(Host.size() + Prefix.size() + 1);
  for (const unsigned char Character : Host)
    Key += static_cast<char>(std::tolower(Character));
  Key += ' ';
  Key += Prefix;
  return Key;
}

const Service *Configuration::findService(std::string_view Name) const {
  for (const Service &Each : m_Services)
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

std::map<std::string, WarmUpRule> Configuration::warmUpRules() const {
  std::map<std::string, WarmUpRule> Rules;
  for (const Service &Each : m_Services)
    if (Each.m_WarmUp.isBounded())
      Rules.emplace(Each.m_Name, Each.m_WarmUp);
  return Rules;
}

std::vector<std::string> Configuration::unreadableParts() const {
  std::vector<std::string> Parts = m_Errors;
  for (const std::shared_ptr<const Route> &Each : m_Routes)
    if (!Each->m_Error.empty())
      Parts.push_back(Each->m_Error);
  return Parts;
}

} // namespace corneldeck::direct
