// tamarackctl instances, burn and errors.
#include "commands.hpp"

#include "tamarack/calls.hpp"
#include "tamarack/report.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cstdio>
#include <iostream>

namespace tamarack::control {

namespace {

constexpr int ConnectTimeoutMs = 1000;
constexpr int ReadTimeoutMs = 3000;
constexpr int StatusOk = 200;

// Fetches an admin page of one instance. Empty if the instance does not
// respond, or responds with an error or invalid JSON.
std::optional<Poco::JSON::Object::Ptr> fetchPage(command_context &Context,
                                                 const instance_info &Instance,
                                                 const std::string &Path) {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = Path;
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = ReadTimeoutMs;
  const std::string &Key = Context.Settings.getText("admin-key");
  if (!Key.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Key});
  try {
    const adapters::http_response Response =
        adapters::fetch(Context.HttpClient, Instance.HttpUrl, Request);
    if (Response.Status != StatusOk)
      return std::nullopt;
    Poco::JSON::Parser Parser;
    return Parser.parse(Response.Body).extract<Poco::JSON::Object::Ptr>();
  } catch (const endpoint_unreached &) {
    return std::nullopt;
  } catch (const endpoint_disconnected &) {
    return std::nullopt;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

report::burn_row parseBurnRow(const Poco::JSON::Object::Ptr &Item) {
  report::burn_row Row;
  Row.Subject = Item->getValue<std::string>("subject");
  Row.Account = Item->getValue<std::string>("account");
  Row.Objective = Item->getValue<double>("objective");
  const Poco::JSON::Array::Ptr Windows = Item->getArray("windows");
  for (unsigned Index = 0; Index < report::BurnWindowCount; ++Index) {
    const Poco::JSON::Object::Ptr Window = Windows->getObject(Index);
    Row.Windows[Index].TotalRequests = Window->getValue<Poco::UInt64>("total");
    Row.Windows[Index].BadRequests = Window->getValue<Poco::UInt64>("bad");
  }
  return Row;
}

// Used share of the error budget of the longest window; above 1 if overspent.
double usedErrorBudget(const report::burn_row &Row) {
  return report::burnRate(Row.Windows[report::BurnWindowCount - 1],
                          Row.Objective);
}

void printBurnText(std::span<const report::burn_row> Rows, int MissingCount) {
  std::printf("%-16s %-16s %9s %8s %7s %7s %7s %7s %6s\n", "subject", "account",
              "objective", "requests", "5m", "30m", "1h", "6h", "alarm");
  for (const report::burn_row &Row : Rows) {
    const report::burn_window &Longest =
        Row.Windows[report::BurnWindowCount - 1];
    std::printf("%-16s %-16s %8.2f%% %8llu", Row.Subject.c_str(),
                Row.Account.c_str(), Row.Objective * 100,
                static_cast<unsigned long long>(Longest.TotalRequests));
    for (const report::burn_window &Window : Row.Windows)
      std::printf(" %7.2f", report::burnRate(Window, Row.Objective));
    std::printf(" %6s\n",
                std::string(report::toString(report::alarmOf(Row))).c_str());
  }
  if (MissingCount > 0)
    std::printf(
        "%d instances did not respond; their requests are not counted.\n",
        MissingCount);
}

void printBurnJson(std::span<const report::burn_row> Rows, int MissingCount) {
  Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
  for (const report::burn_row &Row : Rows) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("subject", Row.Subject);
    Item->set("account", Row.Account);
    Item->set("objective", Row.Objective);
    Item->set("alarm", std::string(report::toString(report::alarmOf(Row))));
    Item->set("budget_used_6h", usedErrorBudget(Row));
    Poco::JSON::Array::Ptr Windows = new Poco::JSON::Array;
    for (int Index = 0; Index < report::BurnWindowCount; ++Index) {
      Poco::JSON::Object::Ptr Window = new Poco::JSON::Object;
      Window->set("minutes", report::BurnWindowsMinutes[Index]);
      Window->set("total", Row.Windows[Index].TotalRequests);
      Window->set("bad", Row.Windows[Index].BadRequests);
      Window->set("burn_rate",
                  report::burnRate(Row.Windows[Index], Row.Objective));
      Windows->add(Window);
    }
    Item->set("windows", Windows);
    Items->add(Item);
  }
  Poco::JSON::Object Root;
  Root.set("rows", Items);
  Root.set("instances_missing", MissingCount);
  Root.stringify(std::cout);
  std::cout << "\n";
}

} // namespace

exit_code listInstances(command_context &Context, arguments) {
  Poco::JSON::Array Rows;
  int UnresponsiveCount = 0;
  for (const instance_info &Instance : Context.InstanceList.list()) {
    const std::optional<Poco::JSON::Object::Ptr> Status =
        fetchPage(Context, Instance, "/admin/status");
    UnresponsiveCount += Status ? 0 : 1;
    if (Context.Json) {
      Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
      Row->set("instance", Instance.Name);
      Row->set("zone", Instance.Zone);
      Row->set("answers", Status.has_value());
      if (Status)
        Row->set("status", *Status);
      Rows.add(Row);
      continue;
    }
    std::cout << Instance.Name << "  " << Instance.Zone << "  ";
    if (!Status) {
      std::cout << "no response\n";
      continue;
    }
    std::cout << ((*Status)->getValue<bool>("ready") ? "ready" : "not ready")
              << "  version " << (*Status)->get("config_version").toString()
              << "  in flight " << (*Status)->get("in_flight").toString()
              << "\n";
  }
  if (Context.Json) {
    Rows.stringify(std::cout);
    std::cout << "\n";
  }
  return UnresponsiveCount == 0 ? exit_code::Success : exit_code::Unavailable;
}

exit_code showBurn(command_context &Context, arguments) {
  std::vector<report::burn_row> Rows;
  int MissingCount = 0;
  for (const instance_info &Instance : Context.InstanceList.list()) {
    if (Instance.PeerUrl.empty())
      continue;
    const std::optional<Poco::JSON::Object::Ptr> Page =
        fetchPage(Context, Instance, "/admin/burn");
    if (!Page) {
      ++MissingCount;
      continue;
    }
    const Poco::JSON::Array::Ptr Items = (*Page)->getArray("rows");
    for (unsigned Index = 0; Index < Items->size(); ++Index)
      Rows.push_back(parseBurnRow(Items->getObject(Index)));
  }
  Rows = report::mergeRows(std::move(Rows));
  if (Context.Json)
    printBurnJson(Rows, MissingCount);
  else
    printBurnText(Rows, MissingCount);
  return exit_code::Success;
}

exit_code listErrorKinds(command_context &, arguments) {
  std::printf("%-20s %6s %8s %9s %8s  %s\n", "kind", "status", "ran", "retry",
              "after ms", "meaning");
  for (const calls::error_definition &Row : calls::allErrors())
    std::printf("%-20s %6d %8s %9s %8d  %s\n", std::string(Row.Name).c_str(),
                Row.Status,
                std::string(calls::toString(Row.RanAtEndpoint)).c_str(),
                std::string(calls::toString(Row.RetryAdvice)).c_str(),
                Row.RetryAfterMs, std::string(Row.Message).c_str());
  return exit_code::Success;
}

} // namespace tamarack::control
