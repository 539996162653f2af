#include "sapphirehook/core/latency_histogram.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using sapphirehook::LatencyHistogram;

TEST_CASE("a histogram's buckets add up to its count", "[core]")
{
  LatencyHistogram histogram;
  // Values below the lowest bucket, within a bucket and above the highest.
  histogram.Observe(10us);
  histogram.Observe(5ms);
  histogram.Observe(5ms);
  histogram.Observe(1h);
  std::string text;
  histogram.AppendSamples(text, "spans");
  CHECK(text.find("spans_bucket{le=\"0.000158\"} 1\n") != std::string::npos);
  CHECK(text.find("spans_bucket{le=\"0.006310\"} 3\n") != std::string::npos);
  CHECK(text.find("spans_bucket{le=\"1000.000000\"} 3\n") != std::string::npos);
  CHECK(text.find("spans_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
  CHECK(text.find("spans_count 4\n") != std::string::npos);
  CHECK(text.find("spans_sum 3600.010010\n") != std::string::npos);
}

TEST_CASE("labels of a histogram precede the bucket label", "[core]")
{
  LatencyHistogram histogram;
  histogram.Observe(5ms);
  std::string text;
  histogram.AppendSamples(text, "spans", "kind=\"upload\"");
  CHECK(text.find("spans_bucket{kind=\"upload\",le=\"+Inf\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("spans_count{kind=\"upload\"} 1\n") != std::string::npos);
}
