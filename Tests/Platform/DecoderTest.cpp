#include "DecoderInputs.h"

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

constexpr const char *Server =
    R"({"backend":"s","address":"10.0.0.9:8080","zone":"z","capacity":12,
"lifecycle-state":"ready","warmup-remaining-ms":5,"sequence":4,"born":17})";

constexpr const char *Report =
    R"({"group":{"name":"g","epoch":3,"rank":2,"lifecycle-state":"open"},
"size":12,"step":40,"mapping":7,"preloaded":9,"enabled":{"version":9,
"step":44},"held":44,"active":5,"queued":1,"pace":1.5})";

} // namespace

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

// Failure: a record whose value could not be decoded evacuated no zone, or a
// key without a zone or of another kind evacuated one.
TEST(Decoders, DecodeEvacuations) {
  const auto Decoded = decodeEvacuations({{"config", "{}"},
                                          {"evacuate", "{}"},
                                          {"evacuate/", "{}"},
                                          {"evacuate/a", "{}"},
                                          {"evacuate/b", "\xff{["},
                                          {"evacuate/c", ""},
                                          {"evacuated/d", "{}"}});
  EXPECT_EQ(Decoded.m_Zones, (std::set<std::string>{"a", "b", "c"}));
  EXPECT_EQ(Decoded.m_Errors.size(), 1U);
}

// Failure: a warm-up field that cannot be used prevented a version, or the use
// of a server; a missing one was taken for a warm server.
TEST(Decoders, DecodeWarmUp) {
  const auto Rule = [](const std::string &Fields) {
    const auto Read = decodeConfiguration(
        R"({"version":1,"routes":[],"backends":[{"name":"s")" + Fields + "}]}");
    EXPECT_TRUE(Read.has_value()) << Fields;
    return std::pair(Read->m_Services.at(0).m_WarmUp, Read->m_Errors.size());
  };
  const auto [Bounded, None] = Rule(R"(,"warmup-s":12,"warmup-per-s":2.5)");
  EXPECT_EQ(Bounded, (direct::WarmUpRule{base::seconds(12), 2.5}));
  EXPECT_EQ(None, 0U);
  for (const char *Unbounded :
       {"", R"(,"warmup-s":12)", R"(,"warmup-s":12,"warmup-per-s":0)",
        R"(,"warmup-s":0,"warmup-per-s":3)",
        R"(,"warmup-s":12,"warmup-per-s":null)"}) {
    const auto [Read, Errors] = Rule(Unbounded);
    EXPECT_FALSE(Read.isBounded()) << Unbounded;
    EXPECT_EQ(Errors, 0U) << Unbounded;
  }
  for (const char *Unreadable : {R"(,"warmup-s":12,"warmup-per-s":-1)",
                                 R"(,"warmup-s":12,"warmup-per-s":"3")",
                                 R"(,"warmup-s":[],"warmup-per-s":3)"}) {
    const auto [Read, Errors] = Rule(Unreadable);
    EXPECT_FALSE(Read.isBounded()) << Unreadable;
    EXPECT_EQ(Errors, 1U) << Unreadable;
  }
  EXPECT_TRUE(decodeServer("i-1", Server)->m_NamesWarmUp);
  EXPECT_EQ(decodeServer("i-1", Server)->m_WarmUpRecord, 4U);
  const auto Without = decodeServer(
      "i-1",
      R"({"backend":"s","address":"10.0.0.9:80","lifecycle-state":"ready"})");
  EXPECT_FALSE(Without->m_NamesWarmUp);
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

// Failure: a deployment that does not name the bounds of cold servers got
// others than the defaults, or its settings were invalid.
TEST(NodeSettings, BoundsOfColdServersAreOptional) {
  const auto Read = [](const std::string &WarmUp) {
    return readNodeSettings(settings::Reader::fromText(
        "node: n\nzone: z\nip: 1.2.3.4\npeer_port: 1\nseeds: []\n"
        "log: 1.2.3.4:5\nretries:\n  ratio: 1\n  window_s: 1\n  extra: 1\n"
        "address_lifetime_s: 1\ngrace_period_s: 1\nmax_open_files: 100\n"
        "link_mbps: 1\n" +
            WarmUp,
        "s.yaml"));
  };
  for (const char *Missing : {"", "warm_up:\n"}) {
    const auto Default = Read(Missing);
    ASSERT_TRUE(Default.has_value()) << Default.error().m_Message;
    EXPECT_EQ(Default->m_WarmUp.m_Overshoot, 1.5);
    EXPECT_EQ(Default->m_WarmUp.m_Tolerance, 5);
  }
  const auto Named = Read("warm_up:\n  overshoot: 2\n  tolerance: 3\n");
  ASSERT_TRUE(Named.has_value());
  EXPECT_EQ(Named->m_WarmUp.m_Overshoot, 2);
  EXPECT_EQ(Named->m_WarmUp.m_Tolerance, 3);
  EXPECT_FALSE(Read("warm_up:\n  overshoot: 0.5\n").has_value());
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
