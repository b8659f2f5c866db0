#include "DecoderInputs.h"

#include "Direct/RouteTable.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/Records.h"

#include <gtest/gtest.h>
#include <limits>

namespace corneldeck::platform {

TEST(Decoders, DecodeAConfiguration) {
  const auto Read = decodeConfiguration(Config);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->m_Version, 7U);
  const direct::Route &Route = *Read->m_Routes.at(0);
  EXPECT_EQ(Route.m_RetryPolicy, direct::RetryPolicy::Resumable);
  EXPECT_EQ(Route.m_Services.at(1).m_Weight, 10);
  EXPECT_EQ(Route.m_TargetEventInterval, base::Millis(120));
  EXPECT_EQ(Read->m_Services.at(0).m_Engine->m_SlotsPerSet, 8U);
  EXPECT_EQ(Read->m_Customers.at(0).m_Keys.at(0), "k");
}

namespace {

base::Result<direct::Configuration> decodeInSteps(ConfigurationDecoder &Decoder,
                                                  const std::string &Text) {
  const auto Step = Decoder.start(Text);
  for (;;)
    if (auto Decoded = Step())
      return std::move(*Decoded);
}

} // namespace

// Failure: each version took time in proportion to all of its routes.
TEST(Decoders, VersionsShareTheRoutesThatHaveNotChanged) {
  ConfigurationDecoder Decoder;
  const auto First = decodeInSteps(Decoder, Config);
  ASSERT_TRUE(First.has_value());
  std::string Text = Config;
  Text.replace(Text.find("\"version\":7"), 11, "\"version\":8");
  const auto Second = decodeInSteps(Decoder, Text);
  ASSERT_TRUE(Second.has_value());
  EXPECT_EQ(Second->m_Version, 8U);
  ASSERT_EQ(Second->m_Routes.size(), First->m_Routes.size());
  EXPECT_EQ(Second->m_Routes.at(0), First->m_Routes.at(0));
}

// Failure: decoding in steps accepted or rejected other texts than decoding at
// once.
TEST(Decoders, DecodingInStepsHasTheSameResult) {
  base::Random Rng(3);
  ConfigurationDecoder Decoder;
  int Valid = 0;
  for (int Count = 0; Count < DamagedInputs; ++Count) {
    const std::string Text = corrupt(Config, Rng);
    const auto AtOnce = decodeConfiguration(Text);
    const auto InSteps = decodeInSteps(Decoder, Text);
    ASSERT_EQ(AtOnce.has_value(), InSteps.has_value()) << Text;
    if (!AtOnce) {
      EXPECT_EQ(AtOnce.error().m_Message, InSteps.error().m_Message) << Text;
      continue;
    }
    ++Valid;
    EXPECT_EQ(AtOnce->m_Version, InSteps->m_Version);
    EXPECT_EQ(AtOnce->m_Customers.size(), InSteps->m_Customers.size());
    EXPECT_EQ(AtOnce->m_Services.size(), InSteps->m_Services.size());
    EXPECT_EQ(AtOnce->unreadableParts(), InSteps->unreadableParts()) << Text;
    ASSERT_EQ(AtOnce->m_Routes.size(), InSteps->m_Routes.size()) << Text;
    for (std::size_t Index = 0; Index < AtOnce->m_Routes.size(); ++Index) {
      EXPECT_EQ(AtOnce->m_Routes[Index]->m_LookupKey,
                InSteps->m_Routes[Index]->m_LookupKey);
      EXPECT_EQ(AtOnce->m_Routes[Index]->m_Timeout,
                InSteps->m_Routes[Index]->m_Timeout);
    }
  }
  EXPECT_GT(Valid, 0);
}

// Failure: a route of an unknown type kept its whole version out of force.
TEST(Decoders, AnUnknownRouteTypeIsAnErrorOfTheRoute) {
  std::string Text = Config;
  Text.replace(Text.find("streaming"), 9, "whatever");
  const auto Read = decodeConfiguration(Text);
  ASSERT_TRUE(Read.has_value()) << Read.error().m_Message;
  EXPECT_NE(Read->m_Routes.at(0)->m_Error.find("whatever"), std::string::npos);
  EXPECT_EQ(Read->m_Routes.at(0)->m_RetryPolicy,
            direct::RetryPolicy::AtMostOnce);
  EXPECT_EQ(Read->unreadableParts().size(), 1U);
}

// Failure: one very deeply nested value kept a whole version out of force.
TEST(Decoders, ADeeplyNestedValueOfAConfigurationIsDiscarded) {
  const std::string Nested = nestedArrays(ExcessiveDepth);
  for (const char *Place :
       {"{\"version\"", "{\"name\":\"r\"", "{\"name\":\"s\"",
        "\"max-body-bytes\"", "{\"name\":\"c\""}) {
    std::string Text = Config;
    const std::size_t At = Text.find(Place);
    ASSERT_NE(At, std::string::npos) << Place;
    Text.insert(Place[0] == '{' ? At + 1 : At, "\"extra\":" + Nested + ",");
    const auto AtOnce = decodeConfiguration(Text);
    ASSERT_TRUE(AtOnce.has_value()) << Place;
    EXPECT_TRUE(AtOnce->unreadableParts().empty()) << Place;
    ConfigurationDecoder Decoder;
    const auto InSteps = decodeInSteps(Decoder, Text);
    ASSERT_TRUE(InSteps.has_value()) << Place;
    EXPECT_EQ(InSteps->m_Routes.size(), 1U) << Place;
    EXPECT_EQ(InSteps->m_Customers.size(), 1U) << Place;
  }
  // In place of a known field it costs the part.
  std::string Text = Config;
  Text.replace(Text.find("\"public\":false"), 14, "\"public\":" + Nested);
  const auto Read = decodeConfiguration(Text);
  ASSERT_TRUE(Read.has_value());
  EXPECT_FALSE(Read->m_Routes.at(0)->m_Error.empty());
  EXPECT_EQ(Read->m_Customers.size(), 1U);
}

// Failure: a server with an odd capacity was not used at all, and numbers above
// the limits of their types wrapped around to valid values.
TEST(Decoders, LargeQuantitiesCountAsTheLargestOne) {
  for (const char *Value :
       {"18446744073709551616", "18446744073709551615", "9223372036854775808",
        "1e19", "1.8446744073709552e19", "9007199254740993e3", "1e308",
        "4294967297", "1000001"}) {
    const auto Capacity = decodeServer("i-1", serverWith("capacity", Value));
    ASSERT_TRUE(Capacity.has_value()) << Value;
    EXPECT_EQ(Capacity->m_Capacity, 1'000'000U) << Value;
    EXPECT_TRUE(decodeServer("i-1", serverWith("warmup-remaining-ms", Value)));
  }
  for (const char *Name : {"capacity", "warmup-remaining-ms"})
    for (const char *Value : {"-1", "-1e300", "\"1\"", "1e400", "-1e400"})
      EXPECT_FALSE(decodeServer("i-1", serverWith(Name, Value))) << Value;
  std::string Last = Config;
  const std::string Urgent = "\"priority\":1}]}";
  Last.replace(Last.find(Urgent), Urgent.size(), "\"priority\":4294967297}]}");
  const auto Read = decodeConfiguration(Last);
  ASSERT_TRUE(Read.has_value()) << Last;
  EXPECT_EQ(Read->m_Customers.at(0).m_Priority,
            std::numeric_limits<int>::max());
  for (const char *Field : {"placements", "reserve", "capacity", "stride"}) {
    std::string Text = Config;
    const std::string Name = "\"" + std::string(Field) + "\":";
    Text.insert(Text.find(Name, Text.find("\"engine\"")) + Name.size(),
                "99999999");
    EXPECT_TRUE(decodeConfiguration(Text)->unreadableParts().empty()) << Text;
  }
}

namespace {

/// What a configuration permits, as decoded at once and in steps.
struct Permitted {
  bool m_RequiresKey = false;
  bool m_HasCustomer = false;
  bool m_IsPublic = false;
  /// Service of the only route; empty if its requests are refused.
  std::string m_Service;

  bool operator==(const Permitted &) const = default;
};

Permitted permittedBy(const direct::Configuration &Read) {
  Permitted Result;
  base::Random Rng(1);
  const direct::RouteTable Table(Read);
  Result.m_RequiresKey = !Table.permitsKey(direct::Route(), "");
  Result.m_HasCustomer = Table.findCustomer("k") != nullptr;
  const direct::Route *Found = Table.findRoute("h", "/a/b");
  if (Found && Found->m_Error.empty()) {
    Result.m_IsPublic = Found->m_Public;
    Result.m_Service = direct::RouteTable::pickService(*Found, Rng);
  }
  return Result;
}

/// Decodes a configuration of one route.
/// \param Document fields of the document, after a comma.
/// \param Route fields of the route, after a comma.
Permitted decodePermitted(const std::string &Document,
                          const std::string &Route) {
  const std::string Text =
      R"({"version":8,"routes":[{"hostname":"h","path-prefix":"/a/",)"
      R"("type":"idempotent")" +
      Route + "}]" + Document + "}";
  const auto AtOnce = decodeConfiguration(Text);
  ConfigurationDecoder Decoder;
  const auto InSteps = decodeInSteps(Decoder, Text);
  EXPECT_TRUE(AtOnce.has_value() && InSteps.has_value()) << Text;
  if (!AtOnce || !InSteps)
    return {};
  EXPECT_EQ(permittedBy(*AtOnce), permittedBy(*InSteps)) << Text;
  return permittedBy(*AtOnce);
}

} // namespace

// Failure: an optional field that was there and empty had the effect of one
// that was missing, so that a configuration whose last customer was removed let
// anyone run requests.
TEST(Decoders, AbsentAndEmptyFieldsPermitNothingMore) {
  const std::string Customer = R"({"name":"c","api-keys":["k"]})";
  const std::string Backend = R"(,"backend":"s")";
  const auto Keys = [&](const std::string &Field) {
    return decodePermitted(Field, Backend);
  };
  EXPECT_EQ(Keys(""), (Permitted{false, false, false, "s"}));
  for (const char *Empty :
       {R"(,"tenants":null)", R"(,"tenants":[])", R"(,"tenants":{})",
        R"(,"tenants":"c")", R"(,"tenants":[{}])", R"(,"tenants":[null])",
        R"(,"tenants":[{"name":"c"}])",
        R"(,"tenants":[{"name":"c","api-keys":null}])",
        R"(,"tenants":[{"name":"c","api-keys":[]}])",
        R"(,"tenants":[{"name":"c","api-keys":"k"}])",
        R"(,"tenants":[{"name":"","api-keys":["k"]}])",
        R"(,"tenants":[{"api-keys":["k"]}])"})
    EXPECT_EQ(Keys(Empty), (Permitted{true, false, false, "s"})) << Empty;
  EXPECT_EQ(Keys(",\"tenants\":[" + Customer + "]"),
            (Permitted{true, true, false, "s"}));
  for (const char *Rank : {"\"0\"", "-1", "[]", "{}", "true"}) {
    const auto Read = decodeConfiguration(
        R"({"version":8,"routes":[],"tenants":[{"name":"c","priority":)" +
        std::string(Rank) + "}]}");
    ASSERT_TRUE(Read.has_value()) << Rank;
    EXPECT_EQ(Read->m_Customers.at(0).m_Priority,
              std::numeric_limits<int>::max())
        << Rank;
  }

  const auto Services = [](const std::string &Fields) {
    return decodePermitted("", Fields).m_Service;
  };
  for (const char *Split :
       {"", R"(,"traffic-split":null)", R"(,"traffic-split":[])"}) {
    EXPECT_EQ(Services(Backend + Split), "s") << Split;
    EXPECT_EQ(Services(Split), "") << Split;
    EXPECT_EQ(Services(R"(,"backend":null)" + std::string(Split)), "");
    EXPECT_EQ(Services(R"(,"backend":"")" + std::string(Split)), "");
  }
  EXPECT_EQ(Services(R"(,"traffic-split":[{"backend":"t"}])"), "t");
  EXPECT_EQ(Services(R"(,"traffic-split":[{"backend":"t","weight":0}])"), "");
  EXPECT_EQ(Services(R"(,"traffic-split":[{"backend":"t","weight":0.4}])"),
            "t");
  EXPECT_EQ(Services(R"(,"traffic-split":[{"weight":1}])"), "");

  for (const char *Attempts :
       {"", R"(,"max-attempts":null)", R"(,"max-attempts":1)"})
    EXPECT_EQ(Services(Backend + Attempts), "s") << Attempts;
  EXPECT_EQ(Services(Backend + R"(,"max-attempts":0)"), "");
  for (const char *Public : {"", R"(,"public":null)", R"(,"public":false)"})
    EXPECT_FALSE(decodePermitted("", Backend + Public).m_IsPublic) << Public;
  EXPECT_TRUE(decodePermitted("", Backend + R"(,"public":true)").m_IsPublic);
}

// Failure: the dimensions of an engine were multiplied without a limit.
TEST(Decoders, AnEngineWithTooManyExpertsHasNoMaps) {
  std::string Text = Config;
  Text.replace(Text.find("\"layer-sets\":4"), 14, "\"layer-sets\":1048576");
  const auto Read = decodeConfiguration(Text);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->unreadableParts().size(), 1U);
  EXPECT_EQ(Read->m_Services.at(0).m_Engine->m_LayerSets, 0U);
}

} // namespace corneldeck::platform
