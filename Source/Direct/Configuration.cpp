#include "Direct/Configuration.h"

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

const Service *Configuration::findService(std::string_view Name) const {
  for (const Service &Each : m_Services)
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

} // namespace corneldeck::direct
