#include "Base/ResultCode.h"

#include <gtest/gtest.h>

using namespace corneldeck::base;

TEST(ResultCode, NumbersAscendAndNamesDiffer) {
  const auto Codes = resultCodes();
  for (std::size_t Index = 1; Index < Codes.size(); ++Index) {
    EXPECT_LT(Codes[Index - 1].m_Code, Codes[Index].m_Code);
    EXPECT_NE(Codes[Index - 1].m_Name, Codes[Index].m_Name);
  }
}

TEST(ResultCode, FindsCodeByNumber) {
  for (const ResultCodeInfo &Info : resultCodes())
    EXPECT_EQ(resultCodeFromNumber(static_cast<int>(Info.m_Code)), Info.m_Code);
  EXPECT_FALSE(resultCodeFromNumber(-1).has_value());
}
