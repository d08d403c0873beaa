#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <chrono>

class DemoDeployment;

/**
    The demo's agent program: it asks a model, books a truck visit, lets a sub-agent look something
    up during a tool pause, and asks the model again. Prints each step as it happens.

    It does what a sound client does: each request goes to the next VM, and one whose outcome it
   does not know is sent again with the same number.
*/
class DemoProgram
{
public:
    explicit DemoProgram(DemoDeployment &demoDeployment);

    /** Has the VM killed once the booking has been sent. */
    void killDuringRun(const QString &vm);

    /** Runs the program; returns whether it finished and the booking ran exactly once. */
    [[nodiscard]] bool run();

private:
    struct Answer
    {
        int status = 0;
        QByteArray body;
        QByteArray replica;
        QByteArray zone;
    };

    [[nodiscard]] QString open(const QString &parent);
    void ask(const QString &program, int number, const QString &question);
    void book(const QString &program, int number);
    void runSubAgent(const QString &parent);
    [[nodiscard]] int countBookings() const;

    Answer sendUntilAnswered(const QByteArray &method, const QString &path,
                             const QJsonObject &body);
    [[nodiscard]] Answer send(const QString &vm, const QByteArray &method, const QString &path,
                              const QJsonObject &body);
    void report(const QString &step, const Answer &answer) const;

    DemoDeployment &deployment;
    QString vmToKill;
    qsizetype nextVm = 0;
};
