#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/results/ExperimentReport.h"
#include "lacewingmux_experiment/simulation/ExperimentRunner.h"
#include "lacewingmux_experiment/workload/WorkloadReader.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>

#include <cxxopts.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace lacewingmux;
using namespace lacewingmux::experiment;

namespace {

QByteArray readFile(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("cannot read %1").arg(path));
    return file.readAll();
}

void writeFile(const QString &path, const QByteArray &content)
{
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size())
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot write %1").arg(path));
}

void report(const ScenarioResult &result, const QString &folder)
{
    const ExperimentReport report(result);
    std::cout << "\n## " << result.workload.name.toStdString() << ", "
              << result.workload.scenario.toStdString() << ", load " << result.workload.load
              << "\n\n"
              << report.table().toStdString() << std::flush;
    if (result.policies.size() > 2)
        std::cout << "\nEach part switched off alone (means; ratios are to naive):\n\n"
                  << report.ablationTable().toStdString() << std::flush;
    if (folder.isEmpty())
        return;
    const QString base =
            QStringLiteral("%1/%2-%3").arg(folder, result.workload.name, result.workload.scenario);
    writeFile(base + QStringLiteral(".json"), QJsonDocument(report.json()).toJson());
    writeFile(base + QStringLiteral(".svg"), report.plot().toUtf8());
}

void runWorkloadFile(const std::string &path, const cxxopts::ParseResult &options)
{
    std::vector<Policy> policies{naivePolicy(), fullPolicy()};
    if (options.count("ablate") > 0)
        for (const Policy &policy : ablatedPolicies())
            policies.push_back(policy);
    const ExperimentSettings settings{options["first-seed"].as<std::uint64_t>(),
                                      options["seeds"].as<int>(), options["jobs"].as<int>()};
    const QString folder = QString::fromStdString(options["output"].as<std::string>());
    if (!folder.isEmpty() && !QDir().mkpath(folder))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot make %1").arg(folder));
    const std::string scenario = options["scenario"].as<std::string>();
    for (Workload &workload : readScenarios(readFile(QString::fromStdString(path)))) {
        if (!scenario.empty() && workload.scenario.toStdString() != scenario)
            continue;
        if (options.count("load") > 0)
            workload.load = options["load"].as<double>();
        report(runScenario(workload, policies, settings), folder);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    cxxopts::Options options("lacewingmux-experiment",
                             "Measures the scheduling decisions against their naive versions");
    options.add_options()("workloads", "JSON files", cxxopts::value<std::vector<std::string>>())(
            "scenario", "run this one only", cxxopts::value<std::string>()->default_value(""))(
            "seeds", "how many", cxxopts::value<int>()->default_value("10"))(
            "first-seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "load", "in place of the workload's", cxxopts::value<double>())(
            "ablate", "also switch off each part alone")("jobs", "threads",
                                                         cxxopts::value<int>()->default_value("2"))(
            "output", "folder for JSON and SVG files",
            cxxopts::value<std::string>()->default_value(""))("help", "");
    options.parse_positional({"workloads"});
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("workloads") == 0) {
            std::cout << options.help() << '\n';
            return parsed.count("help") > 0 ? 0 : 2;
        }
        for (const std::string &path : parsed["workloads"].as<std::vector<std::string>>())
            runWorkloadFile(path, parsed);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
