#include "Net/Endpoint.h"

#include <gtest/gtest.h>

using namespace corneldeck;

TEST(Endpoint, ParsesIpAddressAndPort) {
  const auto Endpoint = net::parseEndpoint("10.1.2.3:7100");
  ASSERT_TRUE(Endpoint.has_value());
  EXPECT_EQ(net::formatEndpoint(*Endpoint), "10.1.2.3:7100");
}

TEST(Endpoint, RejectsMalformedEndpoints) {
  for (const char *Text : {"", "host:80", "10.1.2.3", "10.1.2.3:", "1.2.3:80",
                           "10.1.2.3:65536", "10.1.2.3:8x"})
    EXPECT_FALSE(net::parseEndpoint(Text).has_value()) << Text;
}
