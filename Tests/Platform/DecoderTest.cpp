#include "Base/Random.h"
#include "Direct/RouteTable.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/EngineHttp.h"
#include "platform/Json.h"
#include "platform/LogHttp.h"
#include "platform/NodeSettings.h"
#include "platform/Records.h"

#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <optional>

namespace corneldeck::platform {

namespace {

constexpr const char *Config =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","path-prefix":"/a/",
"type":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,
"traffic-split":[{"backend":"s","weight":90},{"backend":"t","weight":10}],
"max-attempts":2,"public":false,"resumable":true,"itl-target-ms":120}],
"backends":[{"name":"s","health-check-path":"/healthz","max-connections":358,
"engine":{"capacity":12,"step_ms":4.55,"per_seq_ms":0.905,"stride":4,
"layer-sets":4,"experts":72,"placements":8,"reserve":3}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"c","api-keys":["k"],"priority":1}]})";

constexpr const char *Server =
    R"({"backend":"s","address":"10.0.0.9:8080","zone":"z","capacity":12,
"lifecycle-state":"ready","warmup-remaining-ms":5,"sequence":4,"born":17})";

constexpr const char *Report =
    R"({"group":{"name":"g","epoch":3,"rank":2,"lifecycle-state":"open"},
"size":12,"step":40,"mapping":7,"preloaded":9,"enabled":{"version":9,
"step":44},"held":44,"active":5,"queued":1,"pace":1.5})";

/// Corrupts the text at one to four random positions: replaces, erases,
/// duplicates or inserts bytes.
std::string corrupt(std::string Text, base::Random &Rng) {
  for (std::uint64_t Count = 1 + Rng.below(4); Count > 0 && !Text.empty();
       --Count) {
    const std::size_t At = Rng.below(Text.size());
    switch (Rng.below(4)) {
    case 0:
      Text[At] = static_cast<char>(Rng.below(256));
      break;
    case 1:
      Text.erase(At, 1 + Rng.below(20));
      break;
    case 2:
      Text.insert(At, Text.substr(Rng.below(Text.size()), Rng.below(20)));
      break;
    default:
      Text.insert(At, std::to_string(Rng.below(1ULL << 62)));
      break;
    }
  }
  return Text;
}

constexpr int DamagedInputs = 20000;

} // namespace

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

TEST(Decoders, DecodeAServer) {
  const auto Read = decodeServer("i-1", Server);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->m_Service, "s");
  EXPECT_EQ(Read->m_StartTime, 17U);
  EXPECT_FALSE(Read->m_Draining);
  for (const char *Broken :
       {"", "[]", "null", "{\"backend\":\"s\"}",
        R"({"backend":"s","address":"x","lifecycle-state":"ready"})",
        R"({"backend":"s","address":"1.2.3.4:5","lifecycle-state":"odd"})",
        R"({"backend":1,"address":"1.2.3.4:5","lifecycle-state":"ready"})"})
    EXPECT_FALSE(decodeServer("i-1", Broken).has_value()) << Broken;
}

TEST(Decoders, DecodeAnEngineReport) {
  const auto Read = decodeState(Report);
  ASSERT_TRUE(Read.has_value());
  EXPECT_TRUE(Read->m_Open);
  EXPECT_EQ(Read->m_ArmedStep, 44U);
  EXPECT_EQ(Read->m_HeldStep, 44U);
  EXPECT_EQ(Read->m_PreparedVersion, 9U);
}

TEST(Decoders, DecodeEncodedRecords) {
  const std::string Body =
      std::string(7, '\0') + '\x09' + std::string(8, '\0') +
      encodeRecord({0, "key", "value"}) + encodeRecord({0, "gone", {}});
  const auto Run = decodeRecordBatch(Body, 5);
  ASSERT_TRUE(Run.has_value());
  ASSERT_EQ(Run->m_Records.size(), 2U);
  EXPECT_EQ(Run->m_Records[0],
            (feed::KeyedRecord{5, "key", std::string("value")}));
  EXPECT_FALSE(Run->m_Records[1].m_Value.has_value());
  EXPECT_EQ(Run->m_EndOffset, 9U);
  EXPECT_EQ(Run->m_NextOffset, 7U);
  for (std::size_t Cut = 0; Cut < 16; ++Cut)
    EXPECT_FALSE(decodeRecordBatch(Body.substr(0, Cut), 5).has_value());
  EXPECT_FALSE(
      decodeRecordBatch(Body.substr(0, Body.size() - 1), 5).has_value());
}

TEST(Decoders, CorruptInputDoesNotCrash) {
  base::Random Rng(5);
  const std::string Lists =
      R"({"epoch":1,"mapping":{"version":0,"experts":[[0,1],[2]]}})";
  const std::string Counts = R"({"step":8,"epoch":1,"counts":[5,8,9]})";
  const std::string Newest =
      R"({"entries":[{"key":"a","data":"eA==","offset":3}],"has-more":false,
"end-offset":4})";
  const std::string Records =
      std::string(16, '\0') + encodeRecord({0, "key", "value"});
  for (int Count = 0; Count < DamagedInputs; ++Count) {
    if (const auto Read = decodeConfiguration(corrupt(Config, Rng)); !Read)
      EXPECT_FALSE(Read.error().m_Message.empty());
    if (const auto Read = decodeServer("i", corrupt(Server, Rng)); !Read)
      EXPECT_FALSE(Read.error().m_Message.empty());
    if (const auto Read = decodeState(corrupt(Report, Rng)); !Read)
      EXPECT_FALSE(Read.error().m_Message.empty());
    decodeLists(corrupt(Lists, Rng));
    decodeCounts(corrupt(Counts, Rng));
    decodeSnapshotPage(corrupt(Newest, Rng));
    decodeRecordBatch(corrupt(Records, Rng), 0);
  }
}

TEST(Decoders, EncodeOrders) {
  rankgroup::SwitchOrder Order;
  Order.m_Kind = rankgroup::SwitchOrderKind::Arm;
  Order.m_Epoch = 3;
  Order.m_Version = 9;
  Order.m_Step = 44;
  EXPECT_EQ(encodeOrder(Order),
            R"({"epoch":3,"operation":"arm","step":44,"version":9})");
  Order.m_Kind = rankgroup::SwitchOrderKind::Prepare;
  Order.m_Maps = rankgroup::initialMaps(1, 2, 4);
  EXPECT_EQ(encodeOrder(Order),
            R"({"epoch":3,"mapping":[[[0,2],[1,3]]],"operation":"prepare",)"
            R"("version":9})");
}

TEST(NodeSettings, ReportEveryProblem) {
  const auto Read = readNodeSettings(settings::Reader::fromText(
      "node: n\nzone: z\nip: 1.2.3.4\npeer_port: no\nextra: 1\n", "s.yaml"));
  ASSERT_FALSE(Read.has_value());
  for (const char *Part : {"peer_port", "extra", "log", "retries"})
    EXPECT_NE(Read.error().m_Message.find(Part), std::string::npos) << Part;
}

// Failure: a record from an older copy of the log counted as newer.
TEST(Decoders, OrderTheRecordsOfOneWriter) {
  std::string Next = Config;
  Next.replace(Next.find("\"version\":7"), 11, "\"version\":8");
  EXPECT_TRUE(isOlderConfiguration(Config, Next));
  EXPECT_FALSE(isOlderConfiguration(Next, Config));
  EXPECT_FALSE(isOlderConfiguration(Config, Config));
  EXPECT_FALSE(isOlderConfiguration("{", Config));
  const std::string First = R"({"born":5,"sequence":9})";
  EXPECT_TRUE(isOlderServer(First, R"({"born":5,"sequence":10})"));
  EXPECT_TRUE(isOlderServer(First, R"({"born":6,"sequence":1})"));
  EXPECT_FALSE(isOlderServer(First, First));
  EXPECT_FALSE(isOlderServer(First, R"({"born":4,"sequence":10})"));
  EXPECT_FALSE(isOlderServer(R"({"born":4})", First));
}

// Failure: a malformed era was taken for a later or earlier one.
TEST(Decoders, DecodeTheEraOfTheLog) {
  EXPECT_EQ(decodeEra({{"Store-Era", "17"}}), 17U);
  EXPECT_EQ(decodeEra({}), 0U);
  for (const char *Text : {"", "x", "-1", "3x", "1.5", "99999999999999999999"})
    EXPECT_EQ(decodeEra({{"Store-Era", Text}}), 0U) << Text;
}

namespace {

/// Returns the record of a server with \p Value, as JSON, in the field \p Name.
std::string serverWith(const std::string &Name, const std::string &Value) {
  std::map<std::string, std::string> Fields = {
      {"backend", "\"s\""},
      {"address", "\"10.0.0.9:8080\""},
      {"zone", "\"z\""},
      {"capacity", "12"},
      {"sequence", "4"},
      {"born", "17"},
      {"warmup-remaining-ms", "5"},
      {"lifecycle-state", "\"ready\""}};
  Fields[Name] = Value;
  std::string Text;
  for (const auto &[Field, Content] : Fields)
    Text.append(Text.empty() ? "{\"" : ",\"")
        .append(Field)
        .append("\":")
        .append(Content);
  return Text + "}";
}

std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

constexpr std::size_t ExcessiveDepth = 100'000;

} // namespace

// Failure: a record with very deeply nested values ended or stalled the
// processes that read it.
TEST(Decoders, RejectDeeplyNestedDocuments) {
  const std::string Nested = nestedArrays(ExcessiveDepth);
  const std::string Objects = [] {
    std::string Text;
    for (std::size_t Depth = 0; Depth < ExcessiveDepth; ++Depth)
      Text += "{\"a\":";
    return Text + "1" + std::string(ExcessiveDepth, '}');
  }();
  for (const std::string &Value :
       {Nested, Objects, std::string(ExcessiveDepth, '[')}) {
    const auto Read = decodeServer("i-1", serverWith("extra", Value));
    ASSERT_FALSE(Read.has_value());
    EXPECT_NE(Read.error().m_Message.find("nested"), std::string::npos)
        << Read.error().m_Message.substr(0, 100);
    EXPECT_FALSE(decodeServer("i-1", Value).has_value());
    EXPECT_FALSE(decodeConfiguration(Value).has_value());
    EXPECT_FALSE(decodeState(Value).has_value());
    EXPECT_FALSE(decodeCounts(Value).has_value());
    EXPECT_FALSE(decodeSnapshotPage(Value).has_value());
    EXPECT_FALSE(
        isOlderServer(serverWith("extra", Value), serverWith("sequence", "5")));
  }
  // Brackets in strings are no nesting.
  EXPECT_TRUE(decodeServer("i-1", serverWith("extra", "\"\\\"" + Nested + "\""))
                  .has_value());
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

// Failure: numbers at and above the limits of their types were converted with
// undefined results, or wrapped around to valid values.
TEST(Decoders, RejectNumbersOutOfRange) {
  for (const char *Name : {"sequence", "born"})
    for (const char *Value :
         {"1e400", "-1e400", "18446744073709551616", "18446744073709551615",
          "9223372036854775808", "1e19", "1.8446744073709552e19", "-1",
          "9007199254740993e3", "1e308"}) {
      const std::string Text = serverWith(Name, Value);
      if (std::string(Name) != "sequence")
        EXPECT_FALSE(decodeServer("i-1", Text).has_value()) << Text;
      EXPECT_FALSE(isOlderServer(serverWith("sequence", "0"), Text) &&
                   isOlderServer(Text, serverWith("sequence", "0")))
          << Text;
    }
  EXPECT_EQ(
      decodeServer("i-1", serverWith("born", "9007199254740992"))->m_StartTime,
      9007199254740992U);
  for (const char *Rank : {"4294967296", "4294967298", "1e10"}) {
    std::string Text = Report;
    Text.replace(Text.find("\"rank\":2"), 8, std::string("\"rank\":") + Rank);
    EXPECT_FALSE(decodeState(Text).has_value()) << Text;
  }
  for (const char *Field : {"form_ms", "kv-capacity", "read_per_s"}) {
    std::string Text = Config;
    const std::string Start = "\"engine\":{";
    Text.insert(Text.find(Start) + Start.size(),
                "\"" + std::string(Field) + "\":-1e300,");
    const auto Read = decodeConfiguration(Text);
    ASSERT_TRUE(Read.has_value()) << Text;
    EXPECT_EQ(Read->unreadableParts().size(), 1U) << Text;
    EXPECT_EQ(Read->m_Services.at(0).m_Engine->m_LayerSets, 0U) << Text;
  }
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
  Result.m_RequiresKey = Table.requiresKey();
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

// Failure: a count at the largest 64-bit value passed the check of its range
// and was converted with an undefined result.
TEST(JsonFields, CountsAreExactUpToTheLargestInteger) {
  constexpr std::uint64_t Largest = std::numeric_limits<std::uint64_t>::max();
  const auto Read = [](const std::string &Value, std::uint64_t Max) {
    const auto Document = parseJson("{\"n\":" + Value + "}");
    JsonFields Fields(*Document, "test");
    const std::uint64_t Count = Fields.count("n", 0, Max);
    return Fields.error().empty() ? std::optional(Count) : std::nullopt;
  };
  EXPECT_EQ(Read("18446744073709551615", Largest), Largest);
  EXPECT_EQ(Read("18446744073709551616", Largest), std::nullopt);
  EXPECT_EQ(Read("1.8446744073709552e19", Largest), std::nullopt);
  EXPECT_EQ(Read("9007199254740993", Largest), 9007199254740993U);
  EXPECT_EQ(Read("9007199254740993", Largest - 1), 9007199254740993U);
  EXPECT_EQ(Read("9007199254740993", 9007199254740992U), std::nullopt);
  EXPECT_EQ(Read("7.0", 7), 7U);
  EXPECT_EQ(Read("-0.5", 7), std::nullopt);
}

// Failure: servers were listed with addresses at which no server can be, and
// requests were sent there.
TEST(Decoders, RejectAddressesThatAreNoServer) {
  for (const char *Address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999999999999",
        "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", "0.0.0.0:80", "224.0.0.1:80",
        "255.255.255.255:80", "[::]:80", "[ff02::1]:80", ":80", "host:80"})
    EXPECT_FALSE(
        decodeServer("i-1",
                     serverWith("address", "\"" + std::string(Address) + "\""))
            .has_value())
        << Address;
  EXPECT_TRUE(decodeServer("i-1", serverWith("address", "\"10.0.0.9:65535\""))
                  .has_value());
}

// Failure: a key with line breaks became part of the head of requests.
TEST(Decoders, RejectServerIdsThatAreNoHeaderValues) {
  const std::string Valid = serverWith("capacity", "1");
  for (const std::string &Id :
       {std::string(), std::string("a\r\nX: y"), std::string("a b"),
        std::string("\xff\xfe"), std::string("a\0b", 3)})
    EXPECT_FALSE(decodeServer(Id, Valid).has_value()) << Id;
}

// Failure: one malformed entry made a whole page of the list unreadable, so
// that its readers stopped following it.
TEST(Decoders, AMalformedEntryOfAPageDoesNotAffectTheOthers) {
  const std::string Page =
      R"({"has-more":false,"end-offset":9,"entries":[
{"key":"a","data":"eA==","offset":3},
{"key":"no-base64","data":"!","offset":4},
{"key":7,"data":"eA==","offset":5},
{"data":"eA==","offset":5},
{"key":"far","data":"eA==","offset":1e300},
7,
{"key":")" +
      std::string("\xff\xfe") + R"(","data":"eA==","offset":6},
{"key":"z","data":"eA==","offset":8}]})";
  const auto Read = decodeSnapshotPage(Page);
  ASSERT_TRUE(Read.has_value()) << Read.error().m_Message;
  std::vector<std::string> Keys;
  for (const feed::KeyedRecord &Each : Read->m_Records)
    Keys.push_back(Each.m_Key);
  EXPECT_EQ(Keys.front(), "a");
  EXPECT_EQ(Keys.back(), "z");
  EXPECT_EQ(Read->m_EndOffset, 9U);
  EXPECT_EQ(Read->m_MalformedRecords.m_Count, 5U);
  EXPECT_FALSE(Read->m_MalformedRecords.m_FirstError.empty());
}

} // namespace corneldeck::platform
