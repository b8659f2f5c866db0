#include "Net/Address.h"

#include <gtest/gtest.h>

using namespace corneldeck;

TEST(Address, ReadsIpNumberAndPort) {
  const auto Where = net::parseAddress("10.1.2.3:7100");
  ASSERT_TRUE(Where.has_value());
  EXPECT_EQ(net::toString(*Where), "10.1.2.3:7100");
}

TEST(Address, RefusesWhatIsNoIpNumberAndPort) {
  for (const char *Text : {"", "host:80", "10.1.2.3", "10.1.2.3:", "1.2.3:80",
                           "10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:8x"})
    EXPECT_FALSE(net::parseAddress(Text).has_value()) << Text;
}
