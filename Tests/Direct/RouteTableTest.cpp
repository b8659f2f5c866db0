#include "Direct/RouteTable.h"
#include "Direct/EventSplitter.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

Configuration published() {
  Configuration Made;
  Made.m_Version = 3;
  for (const char *Prefix : {"/", "/a/", "/a/b/"}) {
    Route Added;
    Added.m_Host = "x.example";
    Added.m_PathPrefix = Prefix;
    if (Made.m_Routes.empty())
      Added.m_Host = "y.example";
    Added.m_Services = {{"s", 1}};
    Added.m_LookupKey = routeLookupKey(Added.m_Host, Added.m_PathPrefix);
    Made.m_Routes.push_back(std::make_shared<const Route>(Added));
  }
  Made.m_Customers = {{"c1", {"k1", "k2"}, 2}};
  return Made;
}

std::string prefix(const RouteTable &Table, std::string_view Host,
                   std::string_view Path) {
  const Route *Found = Table.findRoute(Host, Path);
  return Found ? Found->m_PathPrefix : "none";
}

} // namespace

TEST(RouteTable, FindsTheLongestPrefixOfTheHost) {
  const RouteTable Table(published());
  EXPECT_EQ(prefix(Table, "x.example", "/a/b/c"), "/a/b/");
  EXPECT_EQ(prefix(Table, "X.Example", "/a/b"), "/a/");
  EXPECT_EQ(prefix(Table, "x.example", "/a/"), "/a/");
  EXPECT_EQ(prefix(Table, "x.example", "/ab/c"), "none");
  EXPECT_EQ(prefix(Table, "y.example", "/ab/c"), "/");
  EXPECT_EQ(prefix(Table, "z.example", "/a/b/"), "none");
  EXPECT_EQ(prefix(Table, "x.example", ""), "none");
  EXPECT_EQ(prefix(Table, "", "/a/"), "none");
}

TEST(RouteTable, FindsCustomersByKey) {
  const RouteTable Table(published());
  ASSERT_NE(Table.findCustomer("k2"), nullptr);
  EXPECT_EQ(Table.findCustomer("k2")->m_Name, "c1");
  EXPECT_EQ(Table.findCustomer("k"), nullptr);
  EXPECT_FALSE(Table.permitsKey(Route(), ""));
  EXPECT_TRUE(Table.permitsKey(Route(), "k2"));
}

TEST(RouteTable, PicksServicesByWeight) {
  Route Split;
  Split.m_Services = {{"s1", 90}, {"s2", 10}, {"s3", 0}};
  base::Random Rng(1);
  int Second = 0;
  for (int Count = 0; Count < 10000; ++Count) {
    const std::string_view Drawn = RouteTable::pickService(Split, Rng);
    EXPECT_NE(Drawn, "s3");
    Second += Drawn == "s2" ? 1 : 0;
  }
  EXPECT_NEAR(Second, 1000, 150);
}

// Failure: weights that are fractions counted as 0, and large ones as equal.
TEST(RouteTable, PicksServicesByWeightsOfAnySize) {
  for (const double Unit : {0.001, 1.0, 1e14}) {
    Route Split;
    Split.m_Services = {{"s1", 3 * Unit}, {"s2", Unit}, {"s3", 0}};
    base::Random Rng(1);
    int Second = 0;
    for (int Count = 0; Count < 10000; ++Count) {
      const std::string_view Drawn = RouteTable::pickService(Split, Rng);
      EXPECT_NE(Drawn, "s3");
      Second += Drawn == "s2" ? 1 : 0;
    }
    EXPECT_NEAR(Second, 2500, 200);
  }
}

// Failure: a route all of whose services had the weight 0 was sent to the first
// one.
TEST(RouteTable, PicksNoServiceWithoutAWeight) {
  base::Random Rng(1);
  Route Split;
  EXPECT_EQ(RouteTable::pickService(Split, Rng), "");
  Split.m_Services = {{"s1", 0}, {"s2", 0}};
  EXPECT_EQ(RouteTable::pickService(Split, Rng), "");
}

// Failure: a configuration without customers permitted all requests.
TEST(RouteTable, RequiresKeysWithoutCustomers) {
  const Route Closed;
  Route Open;
  Open.m_Public = true;
  const RouteTable Table{Configuration()};
  EXPECT_FALSE(Table.permitsKey(Closed, ""));
  EXPECT_FALSE(Table.permitsKey(Closed, "removed"));
  EXPECT_TRUE(Table.permitsKey(Open, ""));
}

// Failure: a version without the list of customers permitted the keys that it
// removed, and any other one.
TEST(RouteTable, PermitsNoUnknownKeyWithoutAListOfCustomers) {
  Configuration Without;
  Without.m_RequiresKey = false;
  const Route Closed;
  const RouteTable Table(Without);
  EXPECT_TRUE(Table.permitsKey(Closed, ""));
  EXPECT_FALSE(Table.permitsKey(Closed, "removed"));
}

TEST(EventSplitter, ReturnsCompleteEventsForAnyPieceSize) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "id: 3\ndata: c\n\nid: 4\nda";
  for (std::size_t Size = 1; Size < Stream.size(); ++Size) {
    EventSplitter Splitter;
    std::string Out;
    for (std::size_t At = 0; At < Stream.size(); At += Size)
      Out += Splitter.append(std::string_view(Stream).substr(At, Size)).value();
    EXPECT_EQ(Out, Stream.substr(0, Stream.find("id: 4"))) << Size;
    EXPECT_EQ(Splitter.lastEventId(), "3");
    EXPECT_TRUE(Splitter.hasPartialEvent());
  }
}

TEST(EventSplitter, OmitsEventsAlreadyReturned) {
  EventSplitter Splitter;
  Splitter.append("id: 5\ndata: a\n\nid: 6\nda");
  EXPECT_EQ(
      Splitter.append("ta: b\n\nid: 5\ndata: a\n\nid: 7\ndata: c\n\n").value(),
      "id: 6\ndata: b\n\nid: 7\ndata: c\n\n");
}

// Failure: events of a server that did not continue the stream followed those
// of another one.
TEST(EventSplitter, RejectsStreamsThatDoNotContinueTheFirst) {
  const std::string First = "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\nda";
  const auto Resume = [&First](const std::string &Stream) {
    EventSplitter Splitter;
    Splitter.append(First);
    Splitter.beginAttempt();
    return Splitter.append(Stream);
  };
  EXPECT_EQ(Resume("id: 6\ndata: c\n\n"), "id: 6\ndata: c\n\n");
  EXPECT_EQ(Resume(": alive\n\nid: 6\ndata: c\n\n"),
            ": alive\n\nid: 6\ndata: c\n\n");
  EXPECT_EQ(Resume("id: 1\ndata: x\n\n"), std::nullopt);
  EXPECT_EQ(Resume("id: 5\ndata: b\n\nid: 6\ndata: c\n\n"), std::nullopt);
  EXPECT_EQ(Resume("id: 7\ndata: d\n\n"), std::nullopt);
  EXPECT_EQ(Resume("event: error\ndata: x\n\n"), std::nullopt);
  EXPECT_EQ(Resume("id: x\ndata: x\n\n"), std::nullopt);
  EXPECT_EQ(Resume("HTTP/1.1 500 X\r\n\r\n"), std::nullopt);
}

// Failure: streams whose ids are not consecutive could not be resumed.
TEST(EventSplitter, ResumesStreamsWithGapsBetweenTheIds) {
  EventSplitter Splitter;
  Splitter.append("id: 4\ndata: a\n\nid: 9\ndata: b\n\nid: 11\ndata: c\n\n");
  Splitter.beginAttempt();
  EXPECT_EQ(Splitter.append("id: 30\ndata: d\n\n"), "id: 30\ndata: d\n\n");
  EXPECT_EQ(Splitter.append("id: 12\ndata: d\n\n"), std::nullopt);
}

TEST(EventSplitter, FailsOnAnEventThatIsTooLarge) {
  EventSplitter Splitter(100);
  EXPECT_FALSE(Splitter.append(std::string(200, 'x')).has_value());
}

} // namespace corneldeck::direct
