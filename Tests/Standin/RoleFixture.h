#ifndef CORNELDECK_TESTS_STANDIN_ROLEFIXTURE_H
#define CORNELDECK_TESTS_STANDIN_ROLEFIXTURE_H

#include "Net/HttpFixture.h"

#include <nlohmann/json.hpp>

namespace corneldeck::standin {

/// Runs one stand-in beside a client.
template <typename RoleType> class RoleFixture : public net::HttpFixture {
protected:
  template <typename... Extra> void start(const Extra &...More) {
    m_Role = std::make_unique<RoleType>(m_Context, More...);
    m_Address = m_Role->listen("127.0.0.1:0").value();
  }

  static net::HttpCall call(const std::string &Target,
                            const std::string &Body = "") {
    net::HttpCall Call;
    Call.m_Method = Body.empty() ? "GET" : "POST";
    Call.m_Target = Target;
    Call.m_Body = Body;
    return Call;
  }

  /// \returns the JSON answer, or null where there is none.
  nlohmann::json ask(const std::string &Target, const std::string &Body = "") {
    const auto Answer = fetch(call(Target, Body));
    if (!Answer)
      return nullptr;
    return nlohmann::json::parse(Answer->m_Body, nullptr, false);
  }

  int statusOf(const std::string &Target, const std::string &Body = "") {
    const auto Answer = fetch(call(Target, Body));
    return Answer ? Answer->m_Status : 0;
  }

  void order(const std::string &Faults) {
    ASSERT_EQ(statusOf("/faults", Faults), 200);
  }

  std::unique_ptr<RoleType> m_Role;
};

} // namespace corneldeck::standin

#endif
