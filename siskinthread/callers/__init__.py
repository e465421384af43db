"""HTTP towards callers.

Interface: ``CallerServer(settings, view, dispatcher, admission, clock, metrics)`` with
``async run(listening socket)`` and ``async drain(deadline)``.  It builds a
`CallerRequest`, asks ``admission.admit(request)``, calls
``dispatcher.begin(request)`` and relays the events of the answer.
"""
