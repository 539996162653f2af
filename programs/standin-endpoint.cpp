#include "standin/endpoint.hpp"

#include <cxxopts.hpp>
#include <iostream>
#include <thread>

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("standin-endpoint", "Stand-in for an endpoint.");
  options.add_options()("name",
                        "name of the endpoint in its answers",
                        cxxopts::value<std::string>())(
    "listen", "number:port", cxxopts::value<std::string>())(
    "service-ms",
    "processing time of each request in ms",
    cxxopts::value<int>()->default_value("0"))(
    "journal",
    "file to which each start and end of a request is written",
    cxxopts::value<std::string>()->default_value(""))(
    "unchecked", "run requests without checking grants");
  try {
    const auto given = options.parse(aCount, aArguments);
    standin::EndpointBehavior behavior;
    behavior.m_name = given["name"].as<std::string>();
    behavior.m_serviceMs = given["service-ms"].as<int>();
    behavior.m_journal = given["journal"].as<std::string>();
    behavior.m_checksGrants = given.count("unchecked") == 0;
    standin::Endpoint endpoint(behavior);
    const auto status = endpoint.Start(given["listen"].as<std::string>());
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return 1;
    }
    while (true) {
      std::this_thread::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
