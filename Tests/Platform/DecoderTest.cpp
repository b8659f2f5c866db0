#include "Base/Random.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/EngineHttp.h"
#include "platform/LogHttp.h"
#include "platform/NodeSettings.h"
#include "platform/Records.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(Route.m_Services.at(1).m_Weight, 10U);
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

TEST(Decoders, AnUnknownRouteTypeIsAnError) {
  std::string Text = Config;
  Text.replace(Text.find("streaming"), 9, "whatever");
  const auto Read = decodeConfiguration(Text);
  ASSERT_FALSE(Read.has_value());
  EXPECT_NE(Read.error().m_Message.find("whatever"), std::string::npos);
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

} // namespace corneldeck::platform
